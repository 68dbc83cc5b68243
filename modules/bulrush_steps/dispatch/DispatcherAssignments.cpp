// The part of Dispatcher that puts the workers of long-running tasks on record before their starts,
// and since when such tasks wait.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/CrashSuspects.h"
#include "bulrush_steps/policy/JobRank.h"

#include <optional>

namespace bulrush {

namespace {

/** How many times longer a run on a cold worker is expected to take. Workers do not tell by how
   much they are slowed; with too short a time their runs would be judged as slow and restarted. */
constexpr int coldDurationFactor = 2;

/** Returns the calendar time of an instant, by the difference of the clock's two times now. */
UnixMillis calendarOf(Instant instant, const Clock &clock)
{
    return clock.calendarMillis() - duration_cast<milliseconds>(clock.now() - instant).count();
}

} // namespace

void Dispatcher::recordWait(JobEntry &job, const TaskRef &ref)
{
    if (!job.step(ref).runsIndefinitely || job.hasEnded()) {
        return;
    }
    const StepTask &task = job.task(ref);
    if (task.openRuns > 0 || !task.waitsSince) {
        return;
    }
    // While this owner may not start the task, a run of it may be alive on the worker on record.
    const bool hasNoRun = this->mayStart(job, job.step(ref), task);
    if (task.recordedWaitsSince && !(hasNoRun && task.assignedTo)) {
        return;
    }
    StepTask &changed = job.changeTask(ref);
    if (hasNoRun) {
        changed.assignedTo.reset();
    }
    if (!changed.recordedWaitsSince) {
        changed.recordedWaitsSince = calendarOf(*changed.waitsSince, this->clock);
    }
    this->markTaskChanged(job, ref);
}

void Dispatcher::noteAssignments(const JobEntry &job)
{
    for (const auto &[number, occurrence] : job.occurrences.kept()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const auto &[index, task] : occurrence.steps[step].tasks.kept()) {
                if (task.assignedTo) {
                    this->formerAssignments[*task.assignedTo].push_back(
                            { job.spec.id, number, step, index });
                }
            }
        }
    }
}

void Dispatcher::recordNoRun(const TaskRef &ref, const TargetId &worker)
{
    JobEntry *job = this->findJob(ref);
    if (job == nullptr || job->hasEnded() || job->task(ref).assignedTo != worker
        || job->task(ref).openRuns > 0) {
        return;
    }
    StepTask &task = job->changeTask(ref);
    task.waitsSince =
            task.waitsSince.value_or(job->waitingSince(ref.occurrence, ref.step, this->clock));
    this->recordWait(*job, ref);
}

void Dispatcher::endWait(JobEntry &job, const TaskRef &ref)
{
    if (!job.task(ref).waitsSince) {
        return;
    }
    StepTask &task = job.changeTask(ref);
    task.waitsSince.reset();
    if (task.recordedWaitsSince && !job.hasEnded()) {
        task.recordedWaitsSince.reset();
        this->markTaskChanged(job, ref);
    }
}

void Dispatcher::setRecordedWait(StepTask &task) const
{
    const Instant since = task.waitsSince.value_or(this->clock.now());
    if (this->clock.now() - since < maxDeferral) {
        // A new owner assumes as much without it, and no further record is needed after the start.
        task.recordedWaitsSince.reset();
    } else if (!task.recordedWaitsSince) {
        task.recordedWaitsSince = calendarOf(since, this->clock);
    }
}

void Dispatcher::recordAssignment(JobEntry &job, const TaskRef &ref, const TargetId &worker)
{
    StepTask &task = job.changeTask(ref);
    task.assignedTo = worker;
    task.assignmentChange = this->writer.markChanged(progressPartOf(job.spec, ref), true);
}

void Dispatcher::recordFoundRun(JobEntry &job, const TaskRef &ref, const TargetId &worker)
{
    if (job.step(ref).runsIndefinitely && job.task(ref).assignedTo != worker) {
        this->recordAssignment(job, ref, worker);
    }
}

void Dispatcher::startTask(JobEntry &job, const TaskRef &ref, Worker &worker, std::uint64_t attempt,
                           std::uint32_t paceLimit, bool roomReserved)
{
    StepTask &task = job.changeTask(ref);
    Run run = this->describeRun(job, { ref, attempt });
    run.paceLimit = paceLimit;
    run.roomReserved = roomReserved;
    ++job.startedRuns;
    if (task.lastAttempt == 0) {
        job.recordFirstStart(ref, this->clock.now());
    }
    task.lastAttempt = attempt;
    ++task.openRuns;
    task.waitsSince =
            task.waitsSince.value_or(job.waitingSince(ref.occurrence, ref.step, this->clock));
    task.apartWaitSince.reset();
    const TargetId &id = worker.entry.worker;
    if (worker.coldStarts.isCold(this->clock.now())) {
        worker.coldStarts.started(this->clock.now());
        run.startedCold = true;
        run.expected *= coldDurationFactor;
    }
    this->workerManager.assign(worker, run);
    if (task.startedApart) {
        CrashSuspects::setApart(worker, run.attempt, this->clock.now());
    }
    if (!job.step(ref).runsIndefinitely) {
        this->sendStart(job, worker, worker.runs.at(run.attempt));
    } else {
        this->setRecordedWait(task);
        this->recordAssignment(job, ref, id);
        this->assignedStarts.add({ run.attempt, id, run.fillCpuMilli > 0, task.assignmentChange });
    }
}

void Dispatcher::sendStart(JobEntry &job, Worker &worker, Run &run)
{
    const StepTask &task = job.task(run.attempt.task);
    if (task.startedApart) {
        CrashSuspects::setApart(worker, run.attempt, this->clock.now());
    }
    DecisionLine line(Event::TaskStarted);
    line.with("task", text(run.attempt.task))
            .with("attempt", run.attempt.attempt)
            .with("worker", worker.entry.worker.name())
            .with("born_ms", worker.processStartedAt)
            .with("free_cpu", worker.free().cpuMilli + run.size.cpuMilli)
            .with("fill_room", static_cast<std::int64_t>(worker.availableFillCpuMilli))
            .with("pace_limit", run.paceLimit)
            .with("resumes", !task.checkpoint.empty())
            .with("reserved", run.roomReserved);
    // The first run of a task that ends may also have waited for the steps that it depends on.
    if (run.runsIndefinitely || task.waitsSince != job.waitsSince) {
        const Duration waited = job.waitOf(task, this->clock.now());
        line.with("waited_ms", duration_cast<milliseconds>(waited).count());
    }
    this->decisions.write(line);
    this->workerManager.startAssigned(worker, run, job.spec, task.checkpoint);
}

void Dispatcher::sendAssignedStarts()
{
    for (const AssignedStart &start : this->assignedStarts.takeAll()) {
        Worker *worker = this->workerManager.find(start.worker);
        JobEntry *job = this->findJob(start.attempt.task);
        if (worker == nullptr || job == nullptr) {
            continue;
        }
        const auto run = worker->runs.find(start.attempt);
        const bool wanted = run != worker->runs.end() && !run->second.stopRequested
                && job->task(start.attempt.task).assignedTo == start.worker;
        if (!wanted || !worker->takesStarts()) {
            this->discardStart(*worker, start.attempt);
        } else if (start.change > this->writer.storedChange() || !this->maySendStarts()) {
            this->assignedStarts.add(start);
        } else {
            this->sendStart(*job, *worker, run->second);
        }
    }
}

void Dispatcher::discardStart(Worker &worker, const AttemptRef &attempt)
{
    const std::optional<Run> run = WorkerManager::cancelAssigned(worker, attempt);
    if (!run) {
        return;
    }
    this->decisions.write(DecisionLine(Event::StartRefused)
                                  .with("task", text(attempt.task))
                                  .with("attempt", attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("outcome", "not sent"));
    this->requeueTask(*run);
    const JobEntry *job = this->findJob(attempt.task);
    if (worker.evacuated && job != nullptr && job->step(attempt.task).gang) {
        this->stopGang(*job, attempt.task.stepRef());
    }
}

} // namespace bulrush
