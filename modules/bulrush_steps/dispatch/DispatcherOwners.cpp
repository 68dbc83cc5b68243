// The part of Dispatcher that finds out what is left of former owners and of silent workers.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Interval at which a waiting owner logs what it waits for. */
constexpr milliseconds reportInterval { 1000 };

/** Maximum number of workers that a log line names. */
constexpr std::uint32_t maxNamedWorkers = 8;

} // namespace

void Dispatcher::applyResignations()
{
    const std::map<std::uint64_t, Resignation> &resignations = this->jobTable.resignations();
    for (auto at = resignations.rbegin(); at != resignations.rend(); ++at) {
        this->formerOwners.resigned(at->second, this->clock.now(),
                                    this->term.resignedOwnerSettleTime);
    }
}

bool Dispatcher::formerOwnersSettled() const
{
    return this->unsettledWorkers.empty() || this->clock.now() >= this->formerOwners.settledAt();
}

std::optional<Resignation> Dispatcher::resignation() const
{
    if (!this->isActive) {
        return std::nullopt;
    }
    Resignation resignation;
    resignation.fencingToken = this->term.fencingToken;
    if (!this->unsettledWorkers.empty()) {
        resignation.unsettled = this->formerOwners.unsettled(this->clock.now());
    }
    return resignation;
}

bool Dispatcher::mayStart(const JobEntry &job)
{
    return !job.knownToPreviousOwners || this->formerOwnersSettled();
}

void Dispatcher::workerSettled(const TargetId &worker)
{
    this->unsettledWorkers.erase(worker);
}

std::vector<OwnerRecord> Dispatcher::unaccountedOwners() const
{
    if (!this->isActive || this->formerOwnersSettled()) {
        return {};
    }
    return this->formerOwners.unaccounted(this->clock.now());
}

Resignation Dispatcher::formerOwnerEnded(std::uint64_t fencingToken)
{
    return this->formerOwners.ended(fencingToken, this->clock.now(),
                                    this->term.resignedOwnerSettleTime);
}

std::string Dispatcher::rosterRecord()
{
    Roster record;
    record.workers = this->roster.workersToSend();
    record.fencingToken = this->term.fencingToken;
    if (!this->formerOwnersSettled()) {
        record.formerOwners = this->formerOwners.awaited(this->clock.now());
    }
    return records::encode(record);
}

void Dispatcher::findEndedWorkers()
{
    std::set<TargetId> silent = this->unsettledWorkers;
    for (const TargetId &id : this->workerManager.silentWorkers()) {
        const Worker *worker = this->workerManager.find(id);
        const bool hasRuns =
                worker != nullptr && (!worker->runs.empty() || !worker->unexplainedRuns.empty());
        if (hasRuns) {
            silent.insert(id);
        }
    }
    this->endedWorkers.tick(silent);
}

void Dispatcher::workerEnded(const TargetId &worker)
{
    this->decisions.write(DecisionLine(Event::WorkerEnded).with("worker", worker.name()));
    this->workerManager.workerEnded(worker);
}

void Dispatcher::removeRecordsOfFormerOwners()
{
    std::vector<KeyedRecord> removals;
    for (const auto &[token, owner] : this->jobTable.owners()) {
        if (token < this->term.fencingToken) {
            removals.push_back({ records::ownerKey(token), {}, 0 });
        }
    }
    for (const auto &[token, resignation] : this->jobTable.resignations()) {
        if (token < this->term.fencingToken) {
            removals.push_back({ records::resignationKey(token), {}, 0 });
        }
    }
    if (!removals.empty()) {
        this->listener.recordsObsolete(removals);
    }
}

std::string Dispatcher::namesOfUnsettledWorkers() const
{
    std::string names;
    std::uint32_t named = 0;
    for (const TargetId &id : this->unsettledWorkers) {
        if (named++ == maxNamedWorkers) {
            break;
        }
        names += names.empty() ? id.name() : " " + id.name();
    }
    return names;
}

void Dispatcher::reportFormerOwners(Instant now)
{
    if (this->formerOwnersReported) {
        return;
    }
    const auto waited = duration_cast<milliseconds>(now - this->beganAt).count();
    if (this->formerOwnersSettled()) {
        this->formerOwnersReported = true;
        this->removeRecordsOfFormerOwners();
        this->decisions.write(
                DecisionLine(Event::FormerOwnersSettled)
                        .with("waited_ms", waited)
                        .with("by", now < this->formerOwners.settledAt() ? "workers" : "time"));
        return;
    }
    if (now < this->nextFormerOwnersReport) {
        return;
    }
    this->nextFormerOwnersReport = now + reportInterval;
    const auto left = this->formerOwners.settledAt() - now;
    this->decisions.write(DecisionLine(Event::FormerOwnersAwaited)
                                  .with("waited_ms", waited)
                                  .with("left_ms", duration_cast<milliseconds>(left).count())
                                  .with("owners", this->formerOwners.unsettled(now).size())
                                  .with("unsettled_workers", this->namesOfUnsettledWorkers()));
}

} // namespace bulrush
