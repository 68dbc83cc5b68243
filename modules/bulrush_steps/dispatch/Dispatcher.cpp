#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Interval at which all runs are checked for stalled and slow ones. */
constexpr milliseconds healthCheckInterval { 200 };

/** Size of the attempt number range of one owner: the first attempt of an owner at a task is at
    least its fencing token times this size, plus one. */
constexpr std::uint64_t attemptsPerOwner = 1000;

} // namespace

Dispatcher::Dispatcher(const Clock &systemClock, WorkerCommands &port, WorkerProcessList *processes,
                       KeyedLog &log, const DispatchSettings &dispatchSettings,
                       DecisionLog &decisionLog, Listener &ownershipListener)
    : clock(systemClock)
    , settings(dispatchSettings)
    , decisions(decisionLog)
    , listener(ownershipListener)
    , workerManager(systemClock, port, dispatchSettings, decisionLog, *this)
    , endedWorkers(systemClock, processes, dispatchSettings.vmListCallsPerSecond, *this)
    , writer(systemClock, log, *this)
    , takeoverWait(systemClock, decisionLog, *this)
    , planner(systemClock, this->jobTable, this->workerManager, this->durations,
              this->fillControl.pressures(), *this)
    , evacuationGate(dispatchSettings.evacuationBound)
{
}

void Dispatcher::begin(const OwnershipTerm &ownershipTerm, StepJobTable persistedJobs)
{
    this->term = ownershipTerm;
    this->jobTable = std::move(persistedJobs);
    this->isActive = true;
    this->begunAt = this->clock.now();
    this->planner.clear();
    this->writer.begin(this->term.fencingToken);
    for (auto &[id, job] : this->jobTable.entries()) {
        job.knownToPreviousOwners = true;
        if (!job.hasEnded()) {
            // Its tasks have yielded to others under the former owner.
            job.waitsSince = std::max(job.acceptedAt, this->clock.now() - maxDeferral);
            job.readRecordedWaits(this->clock);
            this->noteAssignments(job);
            this->addWaiting(job);
        } else if (!job.endStored && !job.cancelled) {
            this->markEndChanged(job);
        }
    }
    this->workerManager.begin(this->term.fencingToken, this->term.gainedAt);
    this->takeoverWait.begin(this->jobTable, this->term);
    if (this->jobTable.newestOwnerToken() > this->term.fencingToken) {
        this->listener.superseded("the jobs stream has a newer owner's record");
    }
}

void Dispatcher::end()
{
    this->isActive = false;
    this->workerManager.end();
    this->endedWorkers.clear();
    this->writer.end();
    this->planner.clear();
    this->unstarted.clear();
    this->unserved.clear();
    this->queueService.clear();
    this->queueReports.clear();
    this->jobTable.clear();
    this->fillControl.clearWorkers();
    this->roster.clear();
    this->rosterBasis.reset();
    this->assignedStarts.clear();
    this->formerAssignments.clear();
    this->changeBeforeRemoval.reset();
    this->movingSince.clear();
}

void Dispatcher::configure(const ServingConfig &config)
{
    this->serving = config;
    this->planner.configure(config);
}

bool Dispatcher::mayCommand() const
{
    return this->isActive && this->listener.isOwner();
}

void Dispatcher::applyJobRecord(const KeyedRecord &record)
{
    const records::ParsedKey key = records::parseKey(record.key);
    const bool known = this->jobTable.find(key.job) != nullptr;
    if (key.kind == records::KeyKind::Job && known) {
        this->decisions.write(DecisionLine(Event::JobRepeated)
                                      .with("job", key.job.name())
                                      .with("offset", record.offset));
    }
    const std::optional<JobId> id = this->jobTable.applyJobRecord(record, this->clock);
    if (this->jobTable.newestOwnerToken() > this->term.fencingToken) {
        this->listener.superseded("the jobs stream has a newer owner's record");
        return;
    }
    if (!id) {
        this->takeoverWait.applyOwnerRecords(this->jobTable);
        return;
    }
    JobEntry &job = *this->jobTable.find(*id);
    if (!known) {
        // The record is read as soon as it is stored. Its calendar time is another node's, and this
        // node's may have stepped since.
        job.acceptedAt = this->clock.now();
        job.waitsSince = job.acceptedAt;
    }
    if (job.cancelled) {
        this->unstarted.erase(*id);
        this->stopRuns(job, "cancelled");
        return;
    }
    this->addWaiting(job);
}

void Dispatcher::addWaiting(const JobEntry &job)
{
    if (!job.started) {
        this->unstarted.insert(job.spec.id);
    }
    this->watchService(job);
    this->planner.markWaiting(job.spec.id);
}

void Dispatcher::stopRuns(const JobEntry &job, std::string_view reason)
{
    this->workerManager.forEachRun(job.spec.id, [this, reason](Worker &worker, Run &run) {
        this->stopRun(worker, run, reason);
    });
}

void Dispatcher::stopRun(Worker &worker, Run &run, std::string_view reason)
{
    if (run.stopRequested) {
        return;
    }
    this->workerManager.requestStop(worker, run);
    this->decisions.write(DecisionLine(Event::TaskStopped)
                                  .with("task", text(run.attempt.task))
                                  .with("attempt", run.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("why", reason));
}

Run Dispatcher::describeRun(const JobEntry &job, const AttemptRef &attempt) const
{
    const StepSpec &step = job.step(attempt.task);
    Run run;
    run.attempt = attempt;
    run.size = step.reserved();
    run.fillCpuMilli = step.fills ? step.size.cpuMilli : 0;
    run.runsIndefinitely = step.runsIndefinitely;
    run.preemptible = !step.gang && step.maxConcurrentDisruptions == 0;
    run.placedAt = this->clock.now();
    run.resumable = step.checkpoints;
    run.image = step.image;
    run.tailTarget = step.tailTarget;
    run.expected = this->durations.expectedDuration(job.spec.queue, step);
    return run;
}

void Dispatcher::tick()
{
    if (!this->isActive) {
        return;
    }
    const Instant now = this->clock.now();
    this->writer.tick();
    if (!this->isActive) {
        return;
    }
    this->followEvacuationRequests(now);
    this->sendAssignedStarts();
    this->workerManager.tick();
    this->findEndedWorkers();
    if (this->takeoverWait.update(this->isSoleOwner())) {
        this->changeBeforeRemoval = this->writer.newestChange();
    }
    this->removeRecordsOfFormerOwners();
    this->updateRoster();
    this->checkQueues(now);
    if (!this->mayCommand()) {
        return;
    }
    this->controlFills(now);
    if (now >= this->nextHealthCheck) {
        this->nextHealthCheck = now + healthCheckInterval;
        this->moveUnhealthyRuns(now);
    }
    this->moveRunsOut(now);
    this->planner.tick(now);
}

void Dispatcher::updateRoster()
{
    const RosterBasis basis { this->workerManager.membershipVersion(),
                              this->takeoverWait.workersToHearFrom().size() };
    if (this->rosterBasis == basis) {
        return;
    }
    this->rosterBasis = basis;
    if (this->roster.update(this->workerManager.workers(),
                            this->takeoverWait.workersToHearFrom())) {
        this->writer.markRosterChanged();
    }
}

void Dispatcher::superseded(const Worker &worker)
{
    this->listener.superseded(worker.entry.worker.name());
}

Run Dispatcher::adoptRun(const Worker &worker, const ListedRun &listed)
{
    Run run;
    run.attempt = listed.attempt;
    run.startSentAt = this->clock.now();
    JobEntry *job = this->findJob(listed.attempt.task);
    if (job == nullptr) {
        run.stopRequested = true;
    } else {
        StepTask &task = job->changeTask(listed.attempt.task);
        run = this->describeRun(*job, listed.attempt);
        this->unstarted.erase(job->spec.id);
        run.startSentAt = this->clock.now();
        run.stopRequested = job->hasEnded() || task.succeeded
                || this->settleWithOtherRuns(*job, listed.attempt);
        ++task.openRuns;
        this->endWait(*job, listed.attempt.task);
        task.lastAttempt = std::max(task.lastAttempt, listed.attempt.attempt);
        job->started = true;
        if (!run.stopRequested) {
            this->recordFoundRun(*job, listed.attempt.task, worker.entry.worker);
        }
    }
    this->decisions.write(DecisionLine(Event::RunFound)
                                  .with("task", text(listed.attempt.task))
                                  .with("attempt", listed.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("kept", !run.stopRequested));
    return run;
}

void Dispatcher::markStarted(JobEntry &job)
{
    if (!job.started) {
        this->listener.jobStarted(this->clock.now() - job.acceptedAt);
    }
    job.started = true;
    this->unstarted.erase(job.spec.id);
}

void Dispatcher::runConfirmed(const Run &run)
{
    this->endMove(run.attempt.task);
    if (JobEntry *job = this->findJob(run.attempt.task)) {
        this->markStarted(*job);
        const StepTask &task = job->task(run.attempt.task);
        if (run.runsIndefinitely && task.waitsSince) {
            this->listener.longRunningTaskStarted(job->waitOf(task, this->clock.now()));
        }
        this->endWait(*job, run.attempt.task);
    }
}

void Dispatcher::closeRun(StepTask &task, std::string checkpoint)
{
    if (task.openRuns > 0) {
        --task.openRuns;
    }
    if (task.openRuns == 0 && !task.waitsSince) {
        task.waitsSince = this->clock.now();
    }
    if (!checkpoint.empty()) {
        task.checkpoint = std::move(checkpoint);
    }
}

std::uint64_t Dispatcher::runEnded(const Worker &worker, const Run *run, const ListedEnd &end)
{
    JobEntry *job = this->findJob(end.attempt.task);
    this->decisions.write(DecisionLine(Event::TaskEnded)
                                  .with("task", text(end.attempt.task))
                                  .with("attempt", end.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("end", text(end.kind))
                                  .with("number", end.number));
    if (job == nullptr) {
        return this->writer.newestChange();
    }
    this->markStarted(*job);
    const std::uint64_t change = this->countEnd(worker, *job, run, end);
    // The acknowledgement of the end does not wait for this record.
    this->recordWait(*job, end.attempt.task);
    job->releaseTask(end.attempt.task);
    return change;
}

std::uint64_t Dispatcher::countEnd(const Worker &worker, JobEntry &job, const Run *run,
                                   const ListedEnd &end)
{
    const StepSpec &step = job.step(end.attempt.task);
    StepTask &task = job.changeTask(end.attempt.task);
    task.lastAttempt = std::max(task.lastAttempt, end.attempt.attempt);
    if (run != nullptr) {
        this->closeRun(task, end.checkpoint);
    }
    if (end.kind == EndKind::Succeeded && run != nullptr && !step.fills && !run->startedCold) {
        this->recordDuration(job, *run);
    }
    if (end.kind == EndKind::Failed) {
        task.failedOn.push_back(worker.entry.worker);
    }
    const bool ranToItsEnd = end.kind == EndKind::Succeeded || end.kind == EndKind::Failed;
    const bool lasted = run != nullptr && CrashSuspects::ageOf(worker, *run) == RunAge::Lasted;
    if (ranToItsEnd || lasted) {
        this->clearSuspicion(job, end.attempt.task);
    }
    this->planner.markWaiting(job.spec.id);
    const bool hadEnded = job.hasEnded();
    bool counted = false;
    if (end.kind == EndKind::Succeeded) {
        counted = StepJobTable::countSuccess(job, end.attempt.task);
        job.recordStepEnd(end.attempt.task, this->clock.now());
        if (step.gang) {
            this->completeGang(job, end.attempt);
        }
    } else if (end.kind == EndKind::Failed) {
        counted = StepJobTable::countFailure(job, end.attempt);
        task.checkpoint.clear();
    }
    if (!counted) {
        return this->writer.newestChange();
    }
    if (job.failed && !hadEnded) {
        this->stopRuns(job, "the job failed");
    }
    return this->markTaskChanged(job, end.attempt.task);
}

void Dispatcher::completeGang(JobEntry &job, const AttemptRef &attempt)
{
    TaskRef ref = attempt.task;
    for (ref.index = 0; ref.index < job.step(ref).taskCount; ++ref.index) {
        if (StepJobTable::countSuccess(job, ref)) {
            this->markTaskChanged(job, ref);
        }
    }
}

JobEntry *Dispatcher::findJob(const TaskRef &task)
{
    JobEntry *job = this->jobTable.find(task.job);
    return job != nullptr && job->hasTask(task) ? job : nullptr;
}

void Dispatcher::requeueTask(const Run &run)
{
    JobEntry *job = this->findJob(run.attempt.task);
    if (job != nullptr) {
        this->closeRun(job->changeTask(run.attempt.task), {});
        this->recordWait(*job, run.attempt.task);
        job->releaseTask(run.attempt.task);
        this->planner.markWaiting(job->spec.id);
    }
}

void Dispatcher::runLost(const Worker &worker, const Run &run, std::string_view reason)
{
    this->decisions.write(DecisionLine(Event::TaskLost)
                                  .with("task", text(run.attempt.task))
                                  .with("attempt", run.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("reason", reason));
    JobEntry *job = this->findJob(run.attempt.task);
    if (job != nullptr && CrashSuspects::ageOf(worker, run) == RunAge::Lasted) {
        this->clearSuspicion(*job, run.attempt.task);
    }
    this->requeueTask(run);
}

void Dispatcher::clearSuspicion(JobEntry &job, const TaskRef &task)
{
    if (CrashSuspects::clearSuspicion(job.changeTask(task))) {
        this->markTaskChanged(job, task);
    }
}

void Dispatcher::startRefused(const Worker &worker, const Run &run, CommandOutcome outcome)
{
    this->decisions.write(DecisionLine(Event::StartRefused)
                                  .with("task", text(run.attempt.task))
                                  .with("attempt", run.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("outcome", text(outcome)));
    this->requeueTask(run);
}

std::uint64_t Dispatcher::nextAttempt(const StepTask &task) const
{
    return std::max(task.lastAttempt, this->term.fencingToken * attemptsPerOwner) + 1;
}

std::uint32_t Dispatcher::waitingJobs(std::string_view queue) const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->unstarted.begin(), this->unstarted.end(), [&](const JobId &id) {
                const JobEntry *job = this->jobTable.find(id);
                return job != nullptr && job->isQueuedIn(queue);
            }));
}

void Dispatcher::addReserved(DispatchLoad &load, const Worker &worker)
{
    for (const auto &[attempt, run] : worker.runs) {
        (run.runsIndefinitely ? load.longRunningCpuMilli : load.endingCpuMilli) +=
                run.size.cpuMilli;
    }
}

DispatchLoad Dispatcher::load() const
{
    DispatchLoad load;
    load.plan = this->planner.load();
    load.queues = this->queueReports;
    load.workerProcesses = this->workerManager.processCounts();
    load.lapsedRuns = this->workerManager.lapsedRunCounts();
    load.openStarts = this->workerManager.startWindow(false).open()
            + this->workerManager.startWindow(true).open();
    load.unsentStarts = this->assignedStarts.count(false) + this->assignedStarts.count(true);
    load.evacuation = this->evacuationLoad();
    for (const auto &[id, worker] : this->workerManager.workers()) {
        load.runs += worker.runs.size();
        load.leavingWorkers += worker.listed && worker.entry.draining ? 1 : 0;
        if (worker.listed && !worker.entry.draining && worker.confirmed) {
            load.capacity += worker.entry.capacity;
            load.free += worker.free();
            addReserved(load, worker);
        }
    }
    return load;
}

std::optional<JobState> Dispatcher::stateOf(const JobId &id) const
{
    const JobEntry *job = this->jobTable.find(id);
    return job == nullptr ? std::nullopt : std::optional(job->visibleState());
}

} // namespace bulrush
