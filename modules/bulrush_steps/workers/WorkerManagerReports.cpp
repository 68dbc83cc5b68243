// The part of WorkerManager that processes the reports of workers, the answers to hold requests.

#include "bulrush_steps/workers/WorkerManager.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/RunHealth.h"

#include <vector>

namespace bulrush {

namespace {

/** Delay before the next hold request to a worker after one failed. */
constexpr milliseconds holdRetryDelay { 100 };

/** Maximum delay of the next hold request, which renews the lease, while the results of ended runs
    are not stored yet. */
constexpr milliseconds maxUnstoredHoldDelay { 300 };

} // namespace

void WorkerManager::handleHoldAnswer(const TargetId &id, std::uint64_t number, Instant sentAt,
                                     std::uint64_t acknowledged, const HoldAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || worker->holdNumber != number) {
        return;
    }
    worker->holdInFlight = false;
    if (answer.outcome == CommandOutcome::Fenced) {
        this->listener.superseded(*worker);
        return;
    }
    if (answer.outcome != CommandOutcome::Done) {
        this->handleHoldFailure(*worker, answer.outcome);
        return;
    }
    const Instant now = this->clock.now();
    // The token of an unconfirmed worker was in no command yet but in holds that granted nothing.
    const bool answersNewToken = !worker->confirmed;
    const bool restarted =
            worker->processStartedAt != 0 && answer.processStartedAt != worker->processStartedAt;
    if (restarted) {
        this->reportRestart(*worker, sentAt, answer);
        this->handleWorkerRestart(*worker, answer.processStartedAt);
        // The hold request acknowledged ended runs of the previous process.
        acknowledged = 0;
    }
    if (worker->failedHolds > 0 || !worker->adopted) {
        this->decisions.write(
                DecisionLine(Event::WorkerResponding)
                        .with("worker", id.name())
                        .with("born_ms", answer.processStartedAt)
                        .with("running", static_cast<std::int64_t>(answer.running.size()))
                        .with("failed_holds", worker->failedHolds));
    }
    worker->processStartedAt = answer.processStartedAt;
    worker->failedHolds = 0;
    worker->silentSince.reset();
    worker->processEnded = false;
    this->silent.erase(id);
    worker->runsExpiredInSilence.clear();
    worker->clock.recordReading(answer.clock, now);
    this->boundForeignLeases(*worker, answersNewToken);
    worker->reportedAt = now;
    if (worker->holdRenews && !worker->firstRenewalAt) {
        worker->firstRenewalAt = sentAt;
    }
    worker->acknowledgedEnds = std::max(worker->acknowledgedEnds, acknowledged);
    this->processEndedRuns(*worker, answer);
    this->processRuns(*worker, answer, sentAt);
    if (!worker->adopted) {
        worker->adopted = true;
        ++this->membershipChanges;
    }
    if (answer.listsAllEnds) {
        this->listener.workerKnown(id);
    }
    if (restarted && !answersNewToken) {
        this->takeNewToken(*worker);
        this->reported.insert(id);
        return;
    }
    worker->confirmed = true;
    const bool hasUnacknowledgedEnds = worker->processedEnds > worker->acknowledgedEnds;
    const bool awaitsStorage =
            hasUnacknowledgedEnds && worker->processedChange > this->listener.storedChange();
    worker->nextHoldAt = awaitsStorage && !answersNewToken ? now + maxUnstoredHoldDelay : now;
    this->reported.insert(id);
    this->checkSoon(*worker);
}

void WorkerManager::handleHoldFailure(Worker &worker, CommandOutcome outcome)
{
    if (worker.failedHolds++ == 0) {
        worker.silentSince = this->clock.now();
        this->decisions.write(DecisionLine(Event::WorkerSilent)
                                      .with("worker", worker.entry.worker.name())
                                      .with("outcome", text(outcome))
                                      .with("runs", static_cast<std::int64_t>(worker.runs.size())));
    }
    if (worker.confirmed) {
        this->takeNewToken(worker);
    }
    this->silent.insert(worker.entry.worker);
    worker.nextHoldAt = this->clock.now() + holdRetryDelay;
}

void WorkerManager::takeNewToken(Worker &worker)
{
    this->processEvents.doubted += worker.confirmed ? 1 : 0;
    worker.confirmed = false;
    worker.commandToken = this->commandTokens.next();
    // The answer to a hold with a former token is not waited for.
    worker.holdInFlight = false;
    worker.holdNumber = ++this->lastHoldNumber;
    worker.nextHoldAt = this->clock.now();
    this->checkSoon(worker);
}

void WorkerManager::boundForeignLeases(Worker &worker, bool answersNewToken)
{
    if (!worker.mayHaveForeignLease) {
        return;
    }
    const Instant now = this->clock.now();
    const Instant takenBy = answersNewToken ? now : now + maxCommandDelay;
    worker.clock.recordForeignLease(leaseExpiry(takenBy, this->settings.maxLease));
    worker.mayHaveForeignLease = !answersNewToken;
}

void WorkerManager::handleWorkerRestart(Worker &worker, UnixMillis processStartedAt)
{
    std::vector<Run> lost;
    for (auto &[attempt, run] : worker.runs) {
        const bool ofPreviousProcess =
                run.phase == RunPhase::Running && run.confirmedAt <= worker.reportedAt;
        if (ofPreviousProcess) {
            lost.push_back(run);
        } else if (run.phase == RunPhase::Running) {
            // Confirmed after the last report, so possibly by the new process. The next report
            // shows whether the run is alive.
            run.confirmedAt = this->clock.now();
        }
    }
    ++this->processEvents.restarted;
    const Instant now = this->clock.now();
    const auto sinceLease = duration_cast<milliseconds>(now - worker.leaseSentAt).count();
    const auto sinceReport = duration_cast<milliseconds>(now - worker.reportedAt).count();
    this->decisions.write(DecisionLine(Event::WorkerRestarted)
                                  .with("worker", worker.entry.worker.name())
                                  .with("born_ms", processStartedAt)
                                  .with("former_born_ms", worker.processStartedAt)
                                  .with("since_lease_ms", sinceLease)
                                  .with("since_report_ms", sinceReport)
                                  .with("runs_lost", static_cast<std::int64_t>(lost.size())));
    worker.shutdownAnnounced = worker.entry.draining;
    worker.processedEnds = 0;
    worker.processedChange = 0;
    worker.acknowledgedEnds = 0;
    worker.clock.reset();
    worker.mayHaveForeignLease = true;
    for (const Run &run : lost) {
        worker.removeRun(run.attempt);
        this->listener.runLost(worker, run, "the worker's process restarted");
    }
}

void WorkerManager::processEndedRuns(Worker &worker, const HoldAnswer &answer)
{
    for (const ListedEnd &end : answer.ended) {
        if (end.number <= worker.processedEnds) {
            continue;
        }
        worker.processedEnds = end.number;
        if (end.kind == EndKind::LeaseLapsed) {
            this->countLapsedRun();
        }
        const auto found = worker.runs.find(end.attempt);
        const Run *run = found == worker.runs.end() ? nullptr : &found->second;
        if (end.kind == EndKind::Succeeded || end.kind == EndKind::Failed) {
            const milliseconds pause = recordRunEnd(worker, end.kind == EndKind::Failed);
            if (pause.count() > 0) {
                this->suspendPlacement(worker, pause, "repeated run failures");
            }
        }
        const std::uint64_t change = this->listener.runEnded(worker, run, end);
        worker.processedChange = std::max(worker.processedChange, change);
        worker.removeRun(end.attempt);
    }
}

void WorkerManager::countLapsedRun()
{
    const Duration owned = this->clock.now() - this->firstRenewals.gainedAt();
    ++(owned <= this->settings.maxLease ? this->lapsedRuns.soonAfterTakeover
                                        : this->lapsedRuns.later);
}

void WorkerManager::processRuns(Worker &worker, const HoldAnswer &answer, Instant sentAt)
{
    for (const ListedRun &listed : answer.running) {
        this->processListedRun(worker, listed);
    }
    this->processUnlistedRuns(worker, answer.listsAllEnds, sentAt);
}

void WorkerManager::processListedRun(Worker &worker, const ListedRun &listed)
{
    const Instant now = this->clock.now();
    auto found = worker.runs.find(listed.attempt);
    if (found == worker.runs.end()) {
        Run adopted = this->listener.adoptRun(worker, listed);
        adopted.phase = RunPhase::Running;
        adopted.found = true;
        adopted.confirmedAt = now;
        adopted.progressedAt = now;
        worker.addRun(std::move(adopted));
        found = worker.runs.find(listed.attempt);
    }
    Run &run = found->second;
    if (run.phase != RunPhase::Running) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        run.progressedAt = now;
        this->listener.runConfirmed(run);
    }
    if (listed.percent != run.progressPercent) {
        run.progressedAt = now;
    }
    run.processUnknown = false;
    run.listedInReport = worker.holdNumber;
    run.mayHaveEnded = false;
    run.progressPercent = listed.percent;
    run.load = listed.load;
}

void WorkerManager::processUnlistedRuns(Worker &worker, bool listsAllEnds, Instant sentAt)
{
    std::vector<Run> lost;
    for (auto &[attempt, run] : worker.runs) {
        const bool confirmedBefore = run.phase == RunPhase::Running && run.confirmedAt < sentAt;
        if (!confirmedBefore || run.listedInReport == worker.holdNumber) {
            continue;
        }
        if (listsAllEnds) {
            lost.push_back(run);
        } else {
            run.mayHaveEnded = true;
        }
    }
    for (const Run &run : lost) {
        worker.removeRun(run.attempt);
        this->listener.runLost(worker, run, "not listed by the worker");
    }
}

} // namespace bulrush
