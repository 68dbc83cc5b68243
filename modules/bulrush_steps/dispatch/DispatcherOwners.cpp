// The part of Dispatcher that waits until commands of former owners can no longer take effect.

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
    if (this->formerOwnersReported || now < this->nextFormerOwnersReport) {
        return;
    }
    this->nextFormerOwnersReport = now + reportInterval;
    const auto waited = duration_cast<milliseconds>(now - this->beganAt).count();
    if (this->formerOwnersSettled()) {
        this->formerOwnersReported = true;
        this->decisions.write(
                DecisionLine(Event::FormerOwnersSettled)
                        .with("waited_ms", waited)
                        .with("by", now < this->formerOwners.settledAt() ? "workers" : "time"));
        return;
    }
    const auto left = this->formerOwners.settledAt() - now;
    this->decisions.write(DecisionLine(Event::FormerOwnersAwaited)
                                  .with("waited_ms", waited)
                                  .with("left_ms", duration_cast<milliseconds>(left).count())
                                  .with("owners", this->formerOwners.unsettled(now).size())
                                  .with("unsettled_workers", this->namesOfUnsettledWorkers()));
}

} // namespace bulrush
