#include "bulrush_steps/dispatch/Planner.h"

#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bulrush {

namespace {

/** Limits of planning. Steps that reserve processors are ranked in each round, since their callers
    wait. */
constexpr PlanLimits reservingLimits { 2, milliseconds(20), milliseconds(0) };
constexpr PlanLimits fillingLimits { 2, milliseconds(10), milliseconds(100) };

/** Maximum number of starts of a lane that wait for the record of their assignment. They count in
    the window of starts in flight, of which they must leave a part to other tasks while the store
   is down. */
constexpr std::uint32_t maxUnsentStarts = 48;

/** Maximum number of long-running tasks of a step that a round tries to start by their waits. */
constexpr std::size_t maxLongestWaiting = 64;

} // namespace

Planner::Planner(const Clock &systemClock, StepJobTable &jobTable, WorkerManager &workerManager,
                 const DurationEstimator &durationEstimator, const PressureModel &pressureModel,
                 Listener &startListener)
    : clock(systemClock)
    , jobs(jobTable)
    , workers(workerManager)
    , durations(durationEstimator)
    , pressures(pressureModel)
    , listener(startListener)
    , reservations(workerManager)
{
    this->lanes.front().limits = reservingLimits;
    this->lanes.back().limits = fillingLimits;
    this->lanes.back().fills = true;
}

void Planner::markWaiting(const JobId &job)
{
    for (PlanLane &lane : this->lanes) {
        lane.waiting.insert(job);
    }
}

void Planner::clear()
{
    for (PlanLane &lane : this->lanes) {
        lane.clear();
    }
    this->reservations.clear();
    this->firstRuns.clear();
    this->turns.clear();
    this->searchPauses.clear();
}

void Planner::tick(Instant now)
{
    this->sweepReservations(now);
    for (PlanLane &lane : this->lanes) {
        this->plan(lane, now);
    }
}

PlanLoad Planner::load() const
{
    PlanLoad load = this->counters;
    load.reservedWorkers = this->reservations.size();
    load.reservations = this->reservations.outcomes();
    load.waitingJobs = this->lanes.front().waiting.size();
    load.waitingFills = this->lanes.back().waiting.size();
    load.reservingWaits = this->lanes.front().census;
    load.fillingWaits = this->lanes.back().census;
    for (const PlanLane &lane : this->lanes) {
        load.unplacedSteps += lane.unplacedCount;
        load.waits.add(lane.census);
    }
    return load;
}

WaitingJob Planner::describeWaiting(const PlanLane &lane, const JobEntry &job,
                                    std::uint32_t occurrence) const
{
    WaitingJob waitingJob;
    waitingJob.priority = job.spec.priority;
    waitingJob.runsIndefinitely = job.spec.runsIndefinitely();
    waitingJob.age = job.ageOf(occurrence, this->clock);
    waitingJob.remaining = this->durations.remainingPath(job, occurrence);
    waitingJob.objective = this->durations.objective(job.spec);
    waitingJob.unstartedShare = unstartedShare(job, occurrence);
    waitingJob.fills = lane.fills;
    waitingJob.hasRuns = hasRuns(job, occurrence);
    return waitingJob;
}

double Planner::unstartedShare(const JobEntry &job, std::uint32_t occurrence)
{
    std::size_t unstarted = 0;
    std::size_t all = 0;
    for (const StepState &step : job.occurrences.at(occurrence).steps) {
        all += step.tasks.size();
        unstarted += step.tasks.open();
    }
    return all == 0 ? 0.0 : static_cast<double>(unstarted) / static_cast<double>(all);
}

bool Planner::hasRuns(const JobEntry &job, std::uint32_t occurrence)
{
    const std::vector<StepState> &steps = job.occurrences.at(occurrence).steps;
    return std::any_of(steps.begin(), steps.end(), [](const StepState &step) {
        return step.tasks.open() + step.tasks.succeeded() < step.tasks.size();
    });
}

void Planner::rankWaiting(PlanLane &lane, Instant now)
{
    this->turnCensus(lane, now);
    turnReservations(lane, now);
    if (lane.fills) {
        lane.passedOver.note(lane.queue, lane.next, now);
    }
    lane.queue.clear();
    lane.next = 0;
    lane.unplaced.clear();
    lane.unplacedCount = 0;
    lane.endingUnplacedBefore = std::exchange(lane.endingUnplaced, false);
    lane.longestStarving.clear();
    for (auto at = lane.waiting.begin(); at != lane.waiting.end();) {
        JobEntry *job = this->jobs.find(*at);
        const bool open = job != nullptr && !job->hasEnded()
                && (!this->listener.mayStart(*job) || this->addCandidates(lane, *job, now));
        at = open ? std::next(at) : lane.waiting.erase(at);
    }
    this->giveTurns(lane, now);
    if (lane.fills) {
        lane.passedOver.rankFirst(lane.queue, now);
    }
    std::stable_sort(
            lane.queue.begin(), lane.queue.end(),
            [](const PlanCandidate &a, const PlanCandidate &b) { return a.rank < b.rank; });
    lane.nextRanking = now + lane.limits.rankInterval;
    this->countOverdue(lane, now);
}

bool Planner::addCandidates(PlanLane &lane, JobEntry &job, Instant now)
{
    bool found = false;
    for (std::uint32_t occurrence = job.occurrences.firstOpen();
         occurrence < job.occurrences.size(); ++occurrence) {
        if (!job.isDue(occurrence, this->clock)) {
            return true;
        }
        const std::vector<std::uint32_t> steps = openSteps(lane, job, occurrence);
        if (steps.empty()) {
            continue;
        }
        found = true;
        const WaitingJob described = this->describeWaiting(lane, job, occurrence);
        for (const std::uint32_t step : steps) {
            PlanCandidate candidate;
            candidate.job = &job;
            candidate.occurrence = occurrence;
            candidate.step = step;
            this->addCandidate(lane, described, candidate, now);
        }
    }
    return found;
}

void Planner::addCandidate(PlanLane &lane, WaitingJob described, PlanCandidate candidate,
                           Instant now)
{
    const StepSpec &spec = candidate.spec();
    candidate.waitsSince =
            candidate.job->waitingSince(candidate.occurrence, candidate.step, this->clock);
    WaitingTasks waiting;
    if (spec.runsIndefinitely) {
        waiting = this->waitingTasks(candidate, maxDeferral, now);
    }
    described.waited = spec.runsIndefinitely ? waiting.longestWait : now - candidate.waitsSince;
    candidate.rank = rankOf(described);
    candidate.riskAllowed = riskAllowedFor(described);
    candidate.age = described.runsIndefinitely ? described.waited : described.age;
    described.runsIndefinitely = spec.runsIndefinitely;
    candidate.starving = isStarving(described);
    if (!candidate.starving) {
        lane.queue.push_back(candidate);
        return;
    }
    if (spec.runsIndefinitely && waiting.all > waiting.longWaiting) {
        // Those of its tasks that have not waited for long yield to others.
        PlanCandidate others = candidate;
        others.starving = false;
        WaitingJob yielding = described;
        yielding.waited = Duration::zero();
        others.rank = rankOf(yielding);
        lane.queue.push_back(others);
    }
    this->addStarving(lane, candidate, starvingRank(described), now);
}

WaitingTasks Planner::waitingTasks(const PlanCandidate &candidate, Duration longWait,
                                   Instant now) const
{
    const JobEntry &job = *candidate.job;
    const StepSpec &step = candidate.spec();
    const OccurrenceState &state = job.occurrences.at(candidate.occurrence);
    WaitingTasks waiting;
    state.steps[candidate.step].tasks.forEachOpen([&](std::uint32_t, const StepTask &task) {
        if (!this->listener.mayStart(job, step, task)) {
            return;
        }
        const Duration wait = candidate.waitOf(task, now);
        ++waiting.all;
        waiting.longWaiting += wait >= longWait ? 1 : 0;
        waiting.longestWait = std::max(waiting.longestWait, wait);
    });
    return waiting;
}

std::vector<std::uint32_t> Planner::openSteps(const PlanLane &lane, const JobEntry &job,
                                              std::uint32_t occurrence)
{
    std::vector<std::uint32_t> open;
    const OccurrenceState &state = job.occurrences.at(occurrence);
    for (std::uint32_t step = 0; step < state.steps.size(); ++step) {
        const bool hasOpenTask =
                job.spec.steps[step].fills == lane.fills && state.steps[step].tasks.open() > 0;
        if (hasOpenTask && job.dependenciesMet(occurrence, step)) {
            open.push_back(step);
        }
    }
    return open;
}

void Planner::start(JobEntry &job, const TaskRef &task, Worker &worker, std::uint64_t attempt,
                    std::uint32_t paceLimit)
{
    ++this->counters.starts;
    const bool roomReserved = this->reservations.started(task.stepRef(), worker);
    this->listener.startTask(job, task, worker, attempt, paceLimit, roomReserved);
}

ServiceId Planner::serviceOf(const JobEntry &job) const
{
    const QueuePolicy *queue = this->config.queue(job.spec.queue);
    return queue == nullptr ? job.spec.service : queue->service;
}

TaskRequest Planner::makeTaskRequest(const PlanCandidate &candidate) const
{
    TaskRequest request;
    request.step = &candidate.job->spec.steps[candidate.step];
    request.ref = candidate.ref();
    request.starving = candidate.starving;
    request.service = this->serviceOf(*candidate.job);
    request.riskAllowed = candidate.riskAllowed;
    if (request.step->maxPerWorker == 0 && !request.step->prefersSingleRack) {
        return request;
    }
    this->workers.forEachRun(candidate.job->spec.id, [&](Worker &worker, Run &run) {
        const TaskRef &task = run.attempt.task;
        if (task.occurrence == candidate.occurrence && task.step == candidate.step) {
            ++request.siblings[worker.entry.worker];
            request.rack = worker.rack;
        }
    });
    return request;
}

std::vector<std::uint32_t> Planner::tasksToStart(const PlanCandidate &candidate, Instant now) const
{
    const JobEntry &job = *candidate.job;
    const StepSpec &step = candidate.spec();
    const TaskStates &tasks = job.occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
    if (candidate.starving && step.runsIndefinitely && !step.gang) {
        return this->longestWaiting(candidate, now);
    }
    std::vector<std::uint32_t> indices;
    tasks.forEachOpen([&](std::uint32_t index, const StepTask &task) {
        if (this->listener.mayStart(job, step, task)) {
            indices.push_back(index);
        }
    });
    return indices;
}

std::vector<std::uint32_t> Planner::longestWaiting(const PlanCandidate &candidate,
                                                   Instant now) const
{
    const JobEntry &job = *candidate.job;
    const StepSpec &step = candidate.spec();
    const TaskStates &tasks = job.occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
    std::vector<std::pair<Duration, std::uint32_t>> waits;
    tasks.forEachOpen([&](std::uint32_t index, const StepTask &task) {
        const Duration wait = candidate.waitOf(task, now);
        if (wait >= maxDeferral && this->listener.mayStart(job, step, task)) {
            waits.emplace_back(-wait, index);
        }
    });
    const auto count = static_cast<std::ptrdiff_t>(std::min(waits.size(), maxLongestWaiting));
    std::partial_sort(waits.begin(), waits.begin() + count, waits.end());
    std::vector<std::uint32_t> indices;
    std::transform(waits.begin(), waits.begin() + count, std::back_inserter(indices),
                   [](const auto &each) { return each.second; });
    return indices;
}

bool Planner::planStep(const PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    const std::vector<std::uint32_t> indices = this->tasksToStart(candidate, now);
    if (indices.empty()) {
        return true;
    }
    JobEntry &job = *candidate.job;
    if (candidate.isForFirstRun() && hasRuns(job, candidate.occurrence)) {
        return true;
    }
    TaskRequest request = this->makeTaskRequest(candidate);
    const Placement placement(now, this->pressures);
    StepPlacement stepPlacement(placement, this->workers.workers(), request);
    TaskRef ref { job.spec.id, candidate.occurrence, candidate.step, 0 };
    const StepSpec &step = *request.step;
    bool noneApart = false;
    for (const std::uint32_t index : indices) {
        ref.index = index;
        const StepTask &task = job.task(ref);
        if (!this->mayStartMore(lane) || !this->mayAssignMore(lane, step)) {
            return true;
        }
        request.failedOn = task.failedOn;
        request.apart = !task.crashedAttempts.empty()
                && CrashSuspects::requireApart(job.changeTask(ref), now);
        if (request.apart && noneApart) {
            continue;
        }
        Worker *worker = task.failedOn.empty() && !request.apart
                ? stepPlacement.choose(request)
                : placement.choose(this->workers.workers(), request);
        if (worker == nullptr && request.apart) {
            noneApart = true;
            continue;
        }
        if (worker == nullptr) {
            return false;
        }
        StepTask &started = job.changeTask(ref);
        started.startedApart = request.apart;
        const std::uint32_t pace = request.starving && step.fills
                ? placement.paceWithinRisk(*worker, request)
                : fullPace;
        this->start(job, ref, *worker, this->listener.nextAttempt(started), pace);
        if (candidate.isForFirstRun()) {
            if (!lane.fills) {
                this->firstRuns[request.service] = { ref, job.task(ref).lastAttempt };
            }
            return true;
        }
        ++request.siblings[worker->entry.worker];
        const bool rackChosen = step.prefersSingleRack && request.rack != worker->rack;
        request.rack = worker->rack;
        request.failedOn.clear();
        request.apart = false;
        if (rackChosen) {
            stepPlacement = StepPlacement(placement, this->workers.workers(), request);
        } else {
            stepPlacement.update(*worker, request);
        }
    }
    return true;
}

bool Planner::planGang(const PlanCandidate &candidate, Instant now)
{
    JobEntry &job = *candidate.job;
    TaskRequest request = this->makeTaskRequest(candidate);
    const Placement placement(now, this->pressures);
    const StepSpec &step = *request.step;
    TaskRef ref { job.spec.id, candidate.occurrence, candidate.step, 0 };
    std::uint64_t attempt = 0;
    std::string checkpoint;
    for (ref.index = 0; ref.index < step.taskCount; ++ref.index) {
        const StepTask &task = job.task(ref);
        if (task.openRuns > 0 || !this->listener.mayStart(job, step, task)) {
            return true;
        }
        attempt = std::max(attempt, this->listener.nextAttempt(task));
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    std::vector<Worker *> chosen;
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
        Worker *worker = placement.choose(this->workers.workers(), request);
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
    std::uint32_t pace = fullPace;
    for (Worker *worker : chosen) {
        if (step.fills && candidate.starving) {
            pace = std::min(pace, placement.paceWithinRisk(*worker, request));
        }
    }
    for (ref.index = 0; ref.index < step.taskCount; ++ref.index) {
        job.changeTask(ref).checkpoint = checkpoint;
        this->start(job, ref, *chosen[ref.index], attempt, pace);
    }
    return true;
}

bool Planner::mayStartMore(const PlanLane &lane) const
{
    // The process may have been paused since the round began.
    const std::uint32_t unsent = this->listener.unsentStarts(lane.fills);
    return this->workers.startWindow(lane.fills).isOpen(unsent) && this->listener.maySendStarts();
}

bool Planner::mayAssignMore(const PlanLane &lane, const StepSpec &step) const
{
    return !step.runsIndefinitely || this->listener.unsentStarts(lane.fills) < maxUnsentStarts;
}

void Planner::plan(PlanLane &lane, Instant now)
{
    if (now < lane.nextRound || !this->mayStartMore(lane)) {
        return;
    }
    const Instant begin = this->clock.now();
    this->planRound(lane, now);
    const Instant done = this->clock.now();
    ++this->counters.rounds;
    (lane.fills ? this->counters.fillingTime : this->counters.reservingTime) += done - begin;
    lane.nextRound = done + (done - begin) * (lane.limits.timeDivisor - 1);
}

void Planner::planRound(PlanLane &lane, Instant now)
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

void Planner::planCandidate(PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    if (candidate.job->hasEnded()) {
        return;
    }
    const StepSpec &step = candidate.spec();
    const ServiceId service = this->serviceOf(*candidate.job);
    const auto ruledOutBy =
            std::find_if(lane.unplaced.begin(), lane.unplaced.end(), [&](const UnplacedStep &each) {
                return each.rulesOut(step, service, candidate.riskAllowed, candidate.starving);
            });
    const bool hasReservation = this->reservations.countOf(candidate.ref()) > 0
            && (candidate.starving || this->listener.movingTasks(candidate.ref()) > 0);
    if (ruledOutBy != lane.unplaced.end() && !hasReservation) {
        this->reserveRoom(lane, candidate, now);
        ++lane.unplacedCount;
        this->noteEndingUnplaced(lane, candidate);
        if (lane.openCensus) {
            lane.openCensus->add(ruledOutBy->reason, candidate.ref(), candidate.age);
        }
        return;
    }
    const bool placed =
            step.gang ? this->planGang(candidate, now) : this->planStep(lane, candidate, now);
    if (placed) {
        return;
    }
    this->reserveRoom(lane, candidate, now);
    ++lane.unplacedCount;
    this->noteEndingUnplaced(lane, candidate);
    const WaitReason reason = this->countUnplaced(lane, candidate, now);
    const bool constrained = step.maxPerWorker > 0 || !step.requiredLabel.empty() || step.gang;
    if (!constrained) {
        lane.unplaced.push_back(
                { &step, candidate.riskAllowed, service, candidate.starving, reason });
    }
}

} // namespace bulrush
