// The planning part of Dispatcher: selects the tasks to start and their workers.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/JobRank.h"
#include "bulrush_steps/policy/StepPlacement.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Size of the attempt number range of one owner: the first attempt of an owner at a task is at
    least its fencing token times this size, plus one. */
constexpr std::uint64_t attemptsPerOwner = 1000;

/** Limits on the expected number of serving tasks that exceed their tail latency target on the
    worker of a filling task. The first applies while the filling task can wait, the second when it
    would otherwise be late. */
constexpr double maxRiskOfDeferrableFill = 0.5;
constexpr double maxRiskOfUrgentFill = 0.9;

} // namespace

bool Dispatcher::previousRunsSettled(const JobEntry &job, Instant now)
{
    if (this->previousOwnerSettled || !job.knownToPreviousOwners
        || now >= this->term.previousOwnerSettledAt) {
        return true;
    }
    for (const TargetId &id : this->jobTable.roster()) {
        const Worker *worker = this->workerManager.find(id);
        if (worker == nullptr || !worker->adopted) {
            return false;
        }
    }
    this->previousOwnerSettled = true;
    return true;
}

Duration Dispatcher::ageOf(const JobEntry &job, std::uint32_t occurrence, Instant now) const
{
    if (!job.spec.timed) {
        return now - job.acceptedAt;
    }
    const UnixMillis due = job.spec.firstDue + job.spec.interval.count() * occurrence;
    return milliseconds(this->clock.calendarMillis() - due);
}

WaitingJob Dispatcher::describeWaiting(const JobEntry &job, std::uint32_t occurrence, Instant since,
                                       Instant now) const
{
    WaitingJob waitingJob;
    waitingJob.priority = job.spec.priority;
    waitingJob.runsIndefinitely = job.spec.runsIndefinitely();
    waitingJob.age = this->ageOf(job, occurrence, now);
    waitingJob.waited = now - since;
    const milliseconds chain = this->durations.criticalPath(job.spec);
    const auto stretched = static_cast<double>(chain.count()) * job.spec.slackFactor;
    waitingJob.remaining = this->durations.remainingPath(job, occurrence);
    waitingJob.objective =
            milliseconds(static_cast<std::int64_t>(stretched)) + job.spec.latencyTarget;
    return waitingJob;
}

void Dispatcher::rankWaiting(PlanLane &lane, Instant now)
{
    lane.queue.clear();
    lane.next = 0;
    lane.unplaced.clear();
    lane.unplacedCount = 0;
    for (auto at = lane.waiting.begin(); at != lane.waiting.end();) {
        JobEntry *job = this->jobTable.find(at->first);
        const bool open = job != nullptr && !job->hasEnded()
                && (!this->previousRunsSettled(*job, now)
                    || this->addCandidates(lane, *job, at->second, now));
        at = open ? std::next(at) : lane.waiting.erase(at);
    }
    std::stable_sort(
            lane.queue.begin(), lane.queue.end(),
            [](const PlanCandidate &a, const PlanCandidate &b) { return a.rank < b.rank; });
    lane.nextRanking = now + lane.limits.rankInterval;
}

bool Dispatcher::addCandidates(PlanLane &lane, JobEntry &job, Instant since, Instant now)
{
    const std::size_t before = lane.queue.size();
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
        if (job.spec.timed && this->ageOf(job, occurrence, now) < Duration::zero()) {
            return true;
        }
        const std::size_t first = lane.queue.size();
        const OccurrenceState &state = job.occurrences[occurrence];
        for (std::uint32_t step = 0; step < state.steps.size(); ++step) {
            const std::vector<StepTask> &tasks = state.steps[step].tasks;
            const bool open = job.spec.steps[step].fills == lane.fills
                    && std::any_of(tasks.begin(), tasks.end(), [](const StepTask &task) {
                                  return !task.succeeded && task.openRuns == 0;
                              });
            if (open && job.dependenciesMet(occurrence, step)) {
                lane.queue.push_back({ &job, occurrence, step, {}, 0.0 });
            }
        }
        if (lane.queue.size() == first) {
            continue;
        }
        const WaitingJob described = this->describeWaiting(job, occurrence, since, now);
        const double risk = isUrgent(described) ? maxRiskOfUrgentFill : maxRiskOfDeferrableFill;
        for (std::size_t added = first; added < lane.queue.size(); ++added) {
            lane.queue[added].rank = rankOf(described);
            lane.queue[added].riskAllowed = risk;
        }
    }
    return lane.queue.size() > before;
}

TaskRequest Dispatcher::makeTaskRequest(const PlanCandidate &candidate)
{
    TaskRequest request;
    request.step = &candidate.job->spec.steps[candidate.step];
    request.service = candidate.job->spec.service;
    request.riskAllowed = candidate.riskAllowed;
    const QueuePolicy *queue = this->config.queue(candidate.job->spec.queue);
    if (queue != nullptr) {
        request.service = queue->service;
    }
    if (request.step->maxPerWorker == 0 && !request.step->prefersSingleRack) {
        return request;
    }
    this->workerManager.forEachRun(candidate.job->spec.id, [&](Worker &worker, Run &run) {
        const TaskRef &task = run.attempt.task;
        if (task.occurrence == candidate.occurrence && task.step == candidate.step) {
            ++request.siblings[worker.entry.worker];
            request.rack = worker.rack;
        }
    });
    return request;
}

std::uint64_t Dispatcher::nextAttempt(const StepTask &task) const
{
    return std::max(task.lastAttempt, this->term.fencingToken * attemptsPerOwner) + 1;
}

void Dispatcher::startTask(JobEntry &job, const TaskRef &ref, Worker &worker, std::uint64_t attempt)
{
    StepTask &task = job.task(ref);
    const Run run = this->describeRun(job, { ref, attempt });
    ++job.startedRuns;
    ++this->counters.starts;
    if (task.lastAttempt == 0) {
        job.recordFirstStart(ref, this->clock.now());
    }
    task.lastAttempt = attempt;
    ++task.openRuns;
    if (!job.started) {
        this->listener.jobStarted(this->clock.now() - job.acceptedAt);
    }
    job.started = true;
    this->decisions.write(
            DecisionLine(Event::TaskStarted)
                    .with("task", text(ref))
                    .with("attempt", attempt)
                    .with("worker", worker.entry.worker.name())
                    .with("free_cpu", worker.free().cpuMilli)
                    .with("fill_room", static_cast<std::int64_t>(worker.availableFillCpuMilli))
                    .with("resumes", !task.checkpoint.empty()));
    this->workerManager.start(worker, run, job.spec, task.checkpoint);
}

bool Dispatcher::planStep(const PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    JobEntry &job = *candidate.job;
    TaskRequest request = this->makeTaskRequest(candidate);
    const Placement placement(now, this->fillControl.pressures());
    StepPlacement stepPlacement(placement, this->workerManager.workers(), request);
    TaskRef ref { job.spec.id, candidate.occurrence, candidate.step, 0 };
    const StepSpec &step = *request.step;
    for (ref.index = 0; ref.index < step.taskCount; ++ref.index) {
        StepTask &task = job.task(ref);
        if (task.succeeded || task.openRuns > 0) {
            continue;
        }
        if (!this->mayStartMore(lane)) {
            return true;
        }
        request.failedOn = task.failedOn;
        Worker *worker = task.failedOn.empty()
                ? stepPlacement.choose(request)
                : placement.choose(this->workerManager.workers(), request);
        if (worker == nullptr) {
            return false;
        }
        this->startTask(job, ref, *worker, this->nextAttempt(task));
        ++request.siblings[worker->entry.worker];
        const bool rackChosen = step.prefersSingleRack && request.rack != worker->rack;
        request.rack = worker->rack;
        request.failedOn.clear();
        if (rackChosen) {
            stepPlacement = StepPlacement(placement, this->workerManager.workers(), request);
        } else {
            stepPlacement.update(*worker, request);
        }
    }
    return true;
}

bool Dispatcher::planGang(const PlanCandidate &candidate, Instant now)
{
    JobEntry &job = *candidate.job;
    TaskRequest request = this->makeTaskRequest(candidate);
    const Placement placement(now, this->fillControl.pressures());
    const StepSpec &step = *request.step;
    TaskRef ref { job.spec.id, candidate.occurrence, candidate.step, 0 };
    std::uint64_t attempt = 0;
    std::string checkpoint;
    for (ref.index = 0; ref.index < step.taskCount; ++ref.index) {
        const StepTask &task = job.task(ref);
        if (task.openRuns > 0) {
            return true;
        }
        attempt = std::max(attempt, this->nextAttempt(task));
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    std::vector<Worker *> chosen;
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
        Worker *worker = placement.choose(this->workerManager.workers(), request);
        if (worker == nullptr) {
            break;
        }
        chosen.push_back(worker);
        // Reserved only while choosing the remaining workers; startTask() makes the final
        // reservation.
        worker->committed += step.size;
        ++request.siblings[worker->entry.worker];
        request.rack = worker->rack;
    }
    for (Worker *worker : chosen) {
        worker->committed -= step.size;
    }
    if (chosen.size() < step.taskCount) {
        return false;
    }
    for (ref.index = 0; ref.index < step.taskCount; ++ref.index) {
        job.task(ref).checkpoint = checkpoint;
        this->startTask(job, ref, *chosen[ref.index], attempt);
    }
    return true;
}

bool Dispatcher::mayStartMore(const PlanLane &lane) const
{
    return this->workerManager.startsInFlight(lane.fills) < lane.limits.maxOpenStarts;
}

void Dispatcher::plan(PlanLane &lane, Instant now)
{
    if (now < lane.nextRound || !this->mayStartMore(lane)) {
        return;
    }
    const Instant begin = this->clock.now();
    this->planRound(lane, now);
    const Instant done = this->clock.now();
    ++this->counters.planningRounds;
    this->counters.planningTime += done - begin;
    lane.nextRound = done + (done - begin) * (lane.limits.timeDivisor - 1);
}

void Dispatcher::planRound(PlanLane &lane, Instant now)
{
    if (now >= lane.nextRanking) {
        this->rankWaiting(lane, now);
    }
    const Instant end = this->clock.now() + lane.limits.maxRound;
    while (lane.next < lane.queue.size() && this->clock.now() < end) {
        this->planCandidate(lane, lane.queue[lane.next], now);
        if (!this->mayStartMore(lane)) {
            // The step may have tasks left, so the next round begins with it.
            return;
        }
        ++lane.next;
    }
}

void Dispatcher::planCandidate(PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    const StepSpec &step = candidate.spec();
    const bool ruledOut =
            std::any_of(lane.unplaced.begin(), lane.unplaced.end(), [&](const UnplacedStep &each) {
                return each.rulesOut(step, candidate.riskAllowed);
            });
    if (candidate.job->hasEnded()) {
        return;
    }
    if (ruledOut) {
        ++lane.unplacedCount;
        return;
    }
    const bool placed =
            step.gang ? this->planGang(candidate, now) : this->planStep(lane, candidate, now);
    lane.unplacedCount += placed ? 0 : 1;
    const bool constrained = step.maxPerWorker > 0 || !step.requiredLabel.empty() || step.gang;
    if (!placed && !constrained) {
        lane.unplaced.push_back({ &step, candidate.riskAllowed });
    }
}

} // namespace bulrush
