#include "bulrush_steps/workers/WorkerManager.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Time-out of a hold request, in addition to the time that the worker may delay its answer. */
constexpr milliseconds holdTimeout { 700 };

/** Maximum number of unanswered starts. With more, requests would queue behind each other and time
    out. Those of filling tasks are few, to keep the way short for all others. */
constexpr std::uint32_t maxReservingStarts = 160;
constexpr std::uint32_t maxFillStarts = 48;

/** Interval at which all workers are checked. Those for which something has happened are checked at
    the next tick. */
constexpr milliseconds checkOfAllInterval { 50 };

/** Delay of the next hold request to a worker while leases may not be renewed. */
constexpr milliseconds delayWithoutRenewal { 100 };

} // namespace

WorkerManager::WorkerManager(const Clock &systemClock, WorkerCommands &workerPort,
                             const DispatchSettings &dispatchSettings, DecisionLog &decisionLog,
                             Listener &runListener)
    : clock(systemClock)
    , port(workerPort)
    , settings(dispatchSettings)
    , decisions(decisionLog)
    , listener(runListener)
    , firstRenewals(systemClock, decisionLog)
    , reservingStarts(maxReservingStarts)
    , fillStarts(maxFillStarts)
    , alive(std::make_shared<bool>(true))
{
}

WorkerManager::~WorkerManager()
{
    *this->alive = false;
}

void WorkerManager::begin(std::uint64_t token, Instant gainedAt)
{
    this->lapsedBefore = this->lapsedRuns;
    this->firstRenewals.begin(token, gainedAt);
    this->commandTokens.begin(token);
    for (auto &[id, worker] : this->workerTable) {
        this->takeNewToken(worker);
    }
}

void WorkerManager::end()
{
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
    this->workerTable.clear();
    ++this->membershipChanges;
    this->workersToCheck.clear();
    this->silent.clear();
    this->reported.clear();
    this->nextCheckOfAll = Instant();
    this->reservingStarts.reset();
    this->fillStarts.reset();
}

Worker *WorkerManager::find(const TargetId &worker)
{
    const auto found = this->workerTable.find(worker);
    return found == this->workerTable.end() ? nullptr : &found->second;
}

void WorkerManager::workerListed(const WorkerEntry &entry)
{
    const auto [found, added] = this->workerTable.try_emplace(entry.worker);
    Worker &worker = found->second;
    const bool moved = !added && !(worker.address.endpoint == entry.endpoint);
    const bool restarted = !added && entry.processStartedAt != worker.entry.processStartedAt
            && entry.processStartedAt != worker.processStartedAt;
    if (!added && entry.draining && !worker.entry.draining) {
        this->decisions.write(
                DecisionLine(Event::WorkerDraining).with("worker", entry.worker.name()));
    }
    worker.entry = entry;
    worker.listed = true;
    worker.processEnded = false;
    if (entry.draining || entry.processStartedAt == worker.processStartedAt) {
        worker.shutdownAnnounced = entry.draining;
    }
    worker.deregistered = false;
    worker.address = { entry.worker, entry.endpoint };
    for (const std::string &label : entry.labels) {
        if (label.starts_with("r")) {
            worker.rack = label;
        }
    }
    if (added) {
        ++this->membershipChanges;
        this->decisions.write(DecisionLine(Event::WorkerSeen)
                                      .with("worker", entry.worker.name())
                                      .with("address", entry.endpoint.text()));
    }
    if (added || moved || (restarted && worker.confirmed)) {
        this->takeNewToken(worker);
    }
    this->checkSoon(worker);
}

void WorkerManager::workerUnlisted(const TargetId &id, RemovalCause cause)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || !worker->listed) {
        return;
    }
    worker->listed = false;
    worker->deregistered = cause == RemovalCause::Deregistered;
    this->decisions.write(DecisionLine(Event::WorkerGone)
                                  .with("worker", id.name())
                                  .with("deregistered", worker->deregistered)
                                  .with("runs", static_cast<std::int64_t>(worker->runs.size())));
}

void WorkerManager::tick()
{
    if (this->clock.now() >= this->nextCheckOfAll) {
        this->nextCheckOfAll = this->clock.now() + checkOfAllInterval;
        this->checkAll();
        this->firstRenewals.update(this->workerTable,
                                   this->lapsedRuns.since(this->lapsedBefore).all());
        return;
    }
    for (const TargetId &id : std::exchange(this->workersToCheck, {})) {
        if (Worker *worker = this->find(id)) {
            this->check(*worker);
        }
    }
}

void WorkerManager::checkAll()
{
    this->workersToCheck.clear();
    std::vector<TargetId> removed;
    for (auto &[id, worker] : this->workerTable) {
        this->handleDeparture(worker);
        this->dropExpiredRuns(worker);
        if (!worker.listed && worker.runs.empty()) {
            removed.push_back(id);
        } else {
            this->check(worker);
        }
    }
    for (const TargetId &id : removed) {
        this->workerTable.erase(id);
        this->silent.erase(id);
        ++this->membershipChanges;
    }
}

void WorkerManager::check(Worker &worker)
{
    if (!this->listener.mayCommand()) {
        return;
    }
    if (this->holdIsDue(worker, this->clock.now())) {
        this->sendHold(worker);
    }
    if (worker.stopRequests > 0 && worker.adopted) {
        this->sendStops(worker);
    }
    const bool awaitsStorage = worker.processedEnds > worker.acknowledgedEnds;
    if (awaitsStorage && !worker.holdInFlight) {
        this->checkSoon(worker);
    }
}

bool WorkerManager::holdIsDue(const Worker &worker, Instant now) const
{
    if (worker.holdInFlight) {
        return false;
    }
    const bool hasUnacknowledgedEnds = worker.processedEnds > worker.acknowledgedEnds;
    const bool stored = worker.processedChange <= this->listener.storedChange();
    const bool renews = !worker.confirmed || this->listener.mayRenewLeases();
    const Instant dueAt = renews ? worker.nextHoldAt : worker.nextHoldAt + delayWithoutRenewal;
    return now >= dueAt || (hasUnacknowledgedEnds && stored && worker.confirmed);
}

std::optional<WorkerMillis> WorkerManager::leaseEnd(Worker &worker)
{
    const std::optional<WorkerMillis> workerNow = worker.clock.clockAt(this->clock.now());
    if (!workerNow) {
        return std::nullopt;
    }
    return *workerNow + this->settings.lease().count();
}

milliseconds WorkerManager::holdWait(const Worker &worker) const
{
    bool serves = false;
    bool fills = false;
    for (const auto &[attempt, run] : worker.runs) {
        serves = serves || run.tailTarget.count() > 0;
        fills = fills || run.fillCpuMilli > 0;
    }
    return serves && fills ? this->settings.holdWaitBesideFills : this->settings.holdWait;
}

void WorkerManager::sendHold(Worker &worker)
{
    WorkerHold command;
    command.fencingToken = worker.commandToken;
    // An unconfirmed worker may have restarted, which resets its numbering of ended runs. Nothing
    // is acknowledged and no lease is renewed until it has answered.
    const bool stored = worker.processedChange <= this->listener.storedChange();
    if (worker.confirmed) {
        command.acknowledgedEnds = stored ? worker.processedEnds : worker.acknowledgedEnds;
        if (this->listener.mayRenewLeases()) {
            command.leaseEnd = this->leaseEnd(worker);
        }
        const bool hasUnacknowledgedEnds = worker.processedEnds > command.acknowledgedEnds;
        const bool waits = command.leaseEnd && !hasUnacknowledgedEnds;
        command.wait = waits ? this->holdWait(worker) : milliseconds(0);
    }
    if (command.leaseEnd) {
        worker.clock.recordLeaseEnd(*command.leaseEnd);
        worker.leaseSentAt = this->clock.now();
    }
    worker.holdInFlight = true;
    worker.holdRenews = command.leaseEnd.has_value();
    const std::uint64_t number = ++this->lastHoldNumber;
    worker.holdNumber = number;
    const Instant sentAt = this->clock.now();
    this->port.hold(worker.address, command, command.wait + holdTimeout,
                    [this, id = worker.entry.worker, number, sentAt,
                     acknowledged = command.acknowledgedEnds,
                     isAlive = this->alive](const HoldAnswer &answer) {
                        if (*isAlive) {
                            this->handleHoldAnswer(id, number, sentAt, acknowledged, answer);
                        }
                    });
}

void WorkerManager::dropExpiredRuns(Worker &worker)
{
    if (worker.runs.empty() || worker.confirmed || !this->listener.isSoleOwner()) {
        return;
    }
    const Instant now = this->clock.now();
    const std::optional<Instant> leaseExpiredAt = worker.clock.leaseExpiredAt();
    if (!leaseExpiredAt) {
        return;
    }
    std::vector<Run> expired;
    for (const auto &[attempt, run] : worker.runs) {
        if (now >= this->expiryOf(worker, run, *leaseExpiredAt)) {
            expired.push_back(run);
        }
    }
    if (expired.empty()) {
        return;
    }
    this->reportLeaseExpired(worker, expired);
    worker.runsExpiredAt = now;
    for (const Run &run : expired) {
        worker.removeRun(run.attempt);
        if (run.phase != RunPhase::Assigned) {
            worker.runsExpiredInSilence.push_back(run);
        }
    }
    for (const Run &run : expired) {
        this->listener.runLost(worker, run, "lease expired");
    }
}

Instant WorkerManager::expiryOf(const Worker &worker, const Run &run, Instant leaseExpiredAt) const
{
    if (run.phase == RunPhase::Assigned || !run.processUnknown) {
        return leaseExpiredAt;
    }
    // Each later command prolongs the lease of all runs of the process that takes it.
    const Instant takenBy = std::max(run.startSentAt, worker.leaseSentAt) + maxCommandDelay;
    const Instant endsBy =
            worker.processEnded ? takenBy : leaseExpiry(takenBy, this->settings.maxLease);
    return std::max(leaseExpiredAt, endsBy);
}

void WorkerManager::reportLeaseExpired(const Worker &worker, const std::vector<Run> &expired)
{
    const Instant now = this->clock.now();
    const auto unknown = std::count_if(expired.begin(), expired.end(),
                                       [](const Run &run) { return run.processUnknown; });
    const auto sinceLease = duration_cast<milliseconds>(now - worker.leaseSentAt).count();
    const auto sinceReport = duration_cast<milliseconds>(now - worker.reportedAt).count();
    const bool foreign = worker.clock.endsWithForeignLease();
    this->decisions.write(DecisionLine(Event::WorkerLeaseExpired)
                                  .with("worker", worker.entry.worker.name())
                                  .with("born_ms", worker.processStartedAt)
                                  .with("token", worker.commandToken)
                                  .with("runs", static_cast<std::int64_t>(expired.size()))
                                  .with("unanswered_starts", static_cast<std::int64_t>(unknown))
                                  .with("bounded_by", foreign ? "foreign lease" : "renewal")
                                  .with("since_lease_ms", sinceLease)
                                  .with("since_report_ms", sinceReport));
}

void WorkerManager::handleDeparture(Worker &worker)
{
    if (!worker.hasLeft()) {
        return;
    }
    worker.processEnded = true;
    this->dropRunsOfEndedProcess(worker, "the worker has left");
    this->listener.workerKnown(worker.entry.worker);
}

void WorkerManager::dropRunsOfEndedProcess(Worker &worker, std::string_view reason)
{
    std::vector<Run> lost;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.phase == RunPhase::Running && !run.processUnknown) {
            lost.push_back(run);
        }
    }
    for (const Run &run : lost) {
        worker.removeRun(run.attempt);
        this->listener.runLost(worker, run, reason);
    }
}

void WorkerManager::suspendPlacement(Worker &worker, milliseconds span, std::string_view reason)
{
    worker.avoidUntil = std::max(worker.avoidUntil, this->clock.now() + span);
    this->decisions.write(DecisionLine(Event::WorkerSetAside)
                                  .with("worker", worker.entry.worker.name())
                                  .with("for_ms", span.count())
                                  .with("failure_share", worker.failureShare)
                                  .with("reason", reason));
}

void WorkerManager::forEachRun(const JobId &job, const std::function<void(Worker &, Run &)> &visit)
{
    for (auto &[id, worker] : this->workerTable) {
        const AttemptRef first { { job, 0, 0, 0 }, 0 };
        for (auto at = worker.runs.lower_bound(first);
             at != worker.runs.end() && at->first.task.job == job; ++at) {
            visit(worker, at->second);
        }
    }
}

} // namespace bulrush
