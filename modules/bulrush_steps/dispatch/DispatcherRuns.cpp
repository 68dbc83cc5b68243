// The part of Dispatcher that intervenes in running tasks: changes their pace, moves and stops
// them.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/CrashSuspects.h"
#include "bulrush_steps/policy/RunHealth.h"

namespace bulrush {

namespace {

/** How long a worker receives no filling tasks after one of its serving tasks exceeded its
    tail latency target. */
constexpr milliseconds fillBlockDuration { 800 };

/** Maximum number of times that a task is moved because its run is stalled or slow. */
constexpr std::uint32_t maxMoves = 3;

/** No run is stopped to make room while an append takes longer: the start in its place waits for
    one. */
constexpr milliseconds maxAppendAge { 500 };

/** How long a worker receives no new tasks after a run on it was stalled or slow. */
constexpr milliseconds unhealthyWorkerPause { 2500 };

} // namespace

void Dispatcher::controlFills(Instant now)
{
    for (const TargetId &id : this->workerManager.takeReported()) {
        Worker *found = this->workerManager.find(id);
        if (found == nullptr) {
            continue;
        }
        Worker &worker = *found;
        worker.servingPressures.reset();
        worker.availableFillCpuMilli = FillController::unusedProcessors(worker, now);
        this->fillControl.observe(worker, now);
        if (FillController::exceedsTailTarget(worker)) {
            worker.fillsBlockedUntil = now + fillBlockDuration;
        }
        this->fillControl.liftPaceLimits(worker, now + riskHorizon, maxRiskOfUrgentFill);
        for (const FillChange &change : this->fillControl.decide(worker, now, this->settings)) {
            Run &run = worker.runs.at(change.attempt);
            if (change.move && !worker.evacuated) {
                this->stopRun(worker, run, "slows down a serving task");
                continue;
            }
            this->decisions.write(DecisionLine(Event::TaskPaced)
                                          .with("task", text(change.attempt.task))
                                          .with("worker", id.name())
                                          .with("percent", change.pacePercent));
            this->workerManager.pace(worker, run, change.pacePercent);
        }
    }
}

bool Dispatcher::mayPreempt() const
{
    return this->isSoleOwner() && this->mayCommand() && this->writer.appendAge() < maxAppendAge;
}

void Dispatcher::preempt(Worker &worker, const AttemptRef &attempt)
{
    const auto run = worker.runs.find(attempt);
    if (run != worker.runs.end()) {
        this->stopRun(worker, run->second, "its room goes to a task that has waited longer");
    }
}

bool Dispatcher::settleWithOtherRuns(const JobEntry &job, const AttemptRef &found)
{
    if (job.step(found.task).allowsSpeculation) {
        return false;
    }
    bool hasLaterRun = false;
    this->workerManager.forEachRun(job.spec.id, [&](Worker &worker, Run &run) {
        if (run.attempt.task != found.task) {
            return;
        }
        if (run.attempt.attempt > found.attempt) {
            // A start that is not sent yet is given up instead.
            hasLaterRun = hasLaterRun || (!run.stopRequested && run.phase != RunPhase::Assigned);
        } else if (run.attempt.attempt < found.attempt) {
            this->stopRun(worker, run, "a later run of its task was found");
        }
    });
    return hasLaterRun;
}

void Dispatcher::runCrashed(const Worker &worker, const Run &run, CrashSign sign,
                            std::string_view evidence)
{
    const milliseconds age = CrashSuspects::lastKnownAge(worker, run);
    const milliseconds maxAge = CrashSuspects::maxAgeAtCrash(worker, run, this->clock.now());
    this->decisions.write(DecisionLine(Event::TaskCrashed)
                                  .with("task", text(run.attempt.task))
                                  .with("attempt", run.attempt.attempt)
                                  .with("worker", worker.entry.worker.name())
                                  .with("age_ms", age.count())
                                  .with("max_age_ms", maxAge.count())
                                  .with("alone", sign == CrashSign::Evidence)
                                  .with("evidence", evidence));
    JobEntry *job = this->findJob(run.attempt.task);
    if (job == nullptr || job->hasEnded() || job->task(run.attempt.task).succeeded
        || CrashSuspects::crashPointsAtOther(worker, run.attempt)) {
        return;
    }
    StepTask &task = job->changeTask(run.attempt.task);
    if (CrashSuspects::ageOf(worker, run) == RunAge::Lasted) {
        this->clearSuspicion(*job, run.attempt.task);
    }
    if (!CrashSuspects::countCrash(task, run.attempt.attempt, sign)) {
        return;
    }
    if (CrashSuspects::mustGiveUp(task)) {
        job->failed = true;
        this->decisions.write(
                DecisionLine(Event::TaskGivenUp)
                        .with("task", text(run.attempt.task))
                        .with("crashes", static_cast<std::int64_t>(task.crashedAttempts.size()))
                        .with("early", static_cast<std::int64_t>(task.youngCrashes.size())));
        this->stopRuns(*job, "a task of the job crashes its workers");
    }
    this->markTaskChanged(*job, run.attempt.task);
}

milliseconds Dispatcher::typicalDuration(const JobEntry &job, const TaskRef &task) const
{
    const milliseconds mean = job.occurrences.at(task.occurrence).steps.at(task.step).meanDuration;
    return mean.count() > 0 ? mean
                            : this->durations.expectedDuration(job.spec.queue, job.step(task));
}

void Dispatcher::recordDuration(JobEntry &job, const Run &run)
{
    const Duration took = this->clock.now() - run.startSentAt;
    const TaskRef &task = run.attempt.task;
    this->durations.recordDuration(job.spec.queue, job.step(task), took);
    StepState &step = job.occurrences.change(task.occurrence).steps.at(task.step);
    const auto newest = duration_cast<milliseconds>(took);
    step.meanDuration = step.meanDuration.count() == 0 ? newest : (step.meanDuration + newest) / 2;
}

void Dispatcher::moveUnhealthyRuns(Instant now)
{
    for (auto &[id, worker] : this->workerManager.workers()) {
        for (auto &[attempt, run] : worker.runs) {
            if (!mayBeUnhealthy(worker, run, now)) {
                continue;
            }
            JobEntry *job = this->findJob(attempt.task);
            if (job == nullptr) {
                continue;
            }
            StepTask &task = job->changeTask(attempt.task);
            const RunHealth health =
                    assessRun(worker, run, now, this->typicalDuration(*job, attempt.task));
            const bool gang = job->step(attempt.task).gang;
            // The room of a slow run in an evacuated data centre is not used again.
            const bool leftAlone =
                    health == RunHealth::Slow && (run.startedCold || worker.evacuated);
            if (health == RunHealth::Healthy || leftAlone || gang || task.relocations >= maxMoves) {
                continue;
            }
            const bool stalled = health == RunHealth::Stalled;
            if (stalled && run.fillCpuMilli > 0 && run.found && !run.paceSent) {
                // The former owner may have paused it.
                this->workerManager.pace(worker, run, run.paceLimit);
                continue;
            }
            ++task.relocations;
            task.failedOn.push_back(id);
            const std::string_view reason =
                    stalled ? "run makes no progress" : "run is slower than expected";
            this->workerManager.suspendPlacement(worker, unhealthyWorkerPause, reason);
            this->stopRun(worker, run, reason);
        }
    }
}

} // namespace bulrush
