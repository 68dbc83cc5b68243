// The part of Planner that sees to it that waits have an end, and counts the steps that wait.

#include "bulrush_steps/dispatch/Planner.h"

#include "bulrush_steps/policy/Preemption.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace bulrush {

namespace {

/** Interval at which the steps that wait are counted by their reasons. */
constexpr seconds censusInterval { 1 };

/** How long a starving job that ends has its turn without a start before another gets it. */
constexpr milliseconds maxTurn { 5000 };

/** Interval at which room is reserved for starving steps. */
constexpr milliseconds reservationInterval { 100 };

/** How often runs to stop are searched for in that interval at most: a search looks at all runs. */
constexpr std::uint32_t maxSearches = 4;

/** After a search that found none, a step waits this long for the next, so that others have theirs.
 */
constexpr seconds searchPause { 1 };

/** Runs are stopped on at most one of this many workers at a time, and on two if these are few. */
constexpr std::size_t workersAPreemption = 16;
constexpr std::size_t minPreemptions = 2;

/** A long-running task that has waited this long gets the room of others: it takes the rest of
    maxRestartWait to stop them and to start the task. */
constexpr milliseconds preemptionWait = maxRestartWait / 2;

/** How many tasks can get the room of stopped runs, one after another, within the rest of
    maxRestartWait. */
constexpr std::size_t stopsInTime = 8;

/** Returns on how many of a number of workers runs may be stopped at a time. */
std::size_t maxPreemptions(std::size_t workers)
{
    return std::max(minPreemptions, workers / workersAPreemption);
}

} // namespace

void Planner::addStarving(PlanLane &lane, PlanCandidate candidate, const JobRank &rank, Instant now)
{
    if (candidate.spec().runsIndefinitely) {
        candidate.rank = rank;
        lane.queue.push_back(candidate);
        return;
    }
    // The other tasks of a job that ends keep to the limits and to its place.
    PlanCandidate others = candidate;
    others.starving = false;
    lane.queue.push_back(others);
    if (lane.fills) {
        // It needs no better rank while its turn comes: it may start beyond the limits that others
        // keep to, and leaves the workers within them to those that are in time.
        // @see PassedOverSteps
        lane.queue.push_back(candidate);
        return;
    }
    // Jobs that are too late are many under overload. They take turns with one run at a time, so
    // that the others keep the order that serves most of them.
    const ServiceId service = this->serviceOf(*candidate.job);
    if (this->hasFirstRun(service) || !this->mayTakeTurn(candidate, now)) {
        return;
    }
    candidate.rank = rank;
    const auto [longest, added] = lane.longestStarving.try_emplace(service, candidate);
    // Jobs that had their turn in vain come last, those with a run earlier come behind those
    // without.
    const auto order = [this, &service, now](const PlanCandidate &each) {
        return std::tuple(this->hadTurnInVain(each, service, now), each.job->started, -each.age);
    };
    if (!added && order(candidate) < order(longest->second)) {
        longest->second = candidate;
    }
}

bool Planner::mayTakeTurn(const PlanCandidate &candidate, Instant now) const
{
    return !this->tasksToStart(candidate, now).empty() && this->fitsAnyWorker(candidate);
}

bool Planner::fitsAnyWorker(const PlanCandidate &candidate) const
{
    TaskRequest request;
    request.step = &candidate.spec();
    request.service = this->serviceOf(*candidate.job);
    const std::map<TargetId, Worker> &workerTable = this->workers.workers();
    return std::any_of(workerTable.begin(), workerTable.end(), [&request](const auto &each) {
        return each.second.takesStarts() && Placement::isEligible(each.second, request);
    });
}

bool Planner::hadTurnInVain(const PlanCandidate &candidate, const ServiceId &service,
                            Instant now) const
{
    const auto turn = this->turns.find(service);
    return turn != this->turns.end() && turn->second.job == candidate.job->spec.id
            && now - turn->second.since >= maxTurn;
}

void Planner::giveTurns(PlanLane &lane, Instant now)
{
    for (const auto &[service, candidate] : lane.longestStarving) {
        Turn &turn = this->turns[service];
        if (turn.job != candidate.job->spec.id || this->hadTurnInVain(candidate, service, now)) {
            turn = { candidate.job->spec.id, now };
        }
        lane.queue.push_back(candidate);
    }
}

bool Planner::hasFirstRun(const ServiceId &service)
{
    const auto found = this->firstRuns.find(service);
    if (found == this->firstRuns.end()) {
        return false;
    }
    const AttemptRef &attempt = found->second;
    const JobEntry *job = this->jobs.find(attempt.task.job);
    if (job == nullptr) {
        return false;
    }
    const StepTask &task = job->task(attempt.task);
    return task.openRuns > 0 && task.lastAttempt == attempt.attempt;
}

void Planner::turnReservations(PlanLane &lane, Instant now)
{
    lane.reservesRoom = now >= lane.nextReservations;
    if (lane.reservesRoom) {
        lane.nextReservations = now + reservationInterval;
        lane.searchesLeft = maxSearches;
    }
}

void Planner::reserveRoom(PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    if (!candidate.starving || !lane.reservesRoom) {
        return;
    }
    const std::uint32_t reserved = this->reservations.countOf(candidate.ref());
    const StepSpec &spec = candidate.spec();
    const WaitingTasks waiting = this->waitingTasks(candidate, maxDeferral, now);
    const std::uint32_t ofGang = spec.gang ? waiting.all : 1U;
    const std::uint32_t wanted = spec.runsIndefinitely && !spec.gang ? waiting.longWaiting : ofGang;
    if (reserved < wanted) {
        this->reservations.reserve(this->makeTaskRequest(candidate), wanted - reserved,
                                   candidate.age, now);
    }
    this->makeRoom(lane, candidate, now);
}

void Planner::countOverdue(PlanLane &lane, Instant now) const
{
    if (!lane.reservesRoom) {
        return;
    }
    lane.overdueTasks.clear();
    for (const PlanCandidate &each : lane.queue) {
        const bool counts = each.starving && each.age >= preemptionWait
                && Preemption::isAllowedFor(each.spec()) && this->fitsAnyWorker(each);
        if (counts) {
            lane.overdueTasks[this->serviceOf(*each.job)] +=
                    this->waitingTasks(each, preemptionWait, now).longWaiting;
        }
    }
}

bool Planner::turnsComeInTime(const PlanLane &lane, const ServiceId &service) const
{
    const auto overdue = lane.overdueTasks.find(service);
    if (overdue == lane.overdueTasks.end()) {
        return true;
    }
    const std::map<TargetId, Worker> &workerTable = this->workers.workers();
    const auto workersOfService = static_cast<std::size_t>(
            std::count_if(workerTable.begin(), workerTable.end(), [&service](const auto &each) {
                return each.second.entry.service == service;
            }));
    return overdue->second <= maxPreemptions(workersOfService) * stopsInTime;
}

std::size_t Planner::preemptionsAllowed(const PlanLane &lane, const ServiceId &service) const
{
    // Where turns do not come round in time, each stop makes one more task wait too long.
    if (!this->turnsComeInTime(lane, service)) {
        return 0;
    }
    const std::map<TargetId, Worker> &workerTable = this->workers.workers();
    const auto stopping = static_cast<std::size_t>(
            std::count_if(workerTable.begin(), workerTable.end(), [](const auto &each) {
                return each.second.stopRequests > 0 && each.second.reservation;
            }));
    const std::size_t most = maxPreemptions(workerTable.size());
    const std::size_t taken = stopping + this->listener.unsentStarts(false);
    return most > taken ? most - taken : 0;
}

void Planner::makeRoom(PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    if (!Preemption::isAllowedFor(candidate.spec()) || lane.searchesLeft == 0
        || candidate.age < preemptionWait || !this->listener.mayPreempt()) {
        return;
    }
    const auto paused = this->searchPauses.find(candidate.ref());
    if (paused != this->searchPauses.end() && now < paused->second) {
        return;
    }
    const std::uint32_t overdue = this->waitingTasks(candidate, preemptionWait, now).longWaiting;
    std::uint32_t secured = this->reservations.securedCountOf(candidate.ref(), now);
    const TaskRequest request = this->makeTaskRequest(candidate);
    const Preemption preemption(now);
    std::size_t allowed = this->preemptionsAllowed(lane, request.service);
    for (; secured < overdue && lane.searchesLeft > 0 && allowed > 0; ++secured, --allowed) {
        --lane.searchesLeft;
        const std::optional<PreemptionChoice> choice =
                preemption.choose(this->workers.workers(), request);
        if (!choice) {
            this->searchPauses[candidate.ref()] = now + searchPause;
            return;
        }
        this->reservations.reserveOn(*choice->worker, request.ref, request.step->reserved(), now);
        choice->worker->reservation->keepsFreedRoom = true;
        for (const AttemptRef &victim : choice->victims) {
            ++this->counters.preemptions;
            this->listener.preempt(*choice->worker, victim);
        }
    }
}

void Planner::noteEndingUnplaced(PlanLane &lane, const PlanCandidate &candidate) const
{
    // A job that fits no worker waits for ever.
    lane.endingUnplaced = lane.endingUnplaced
            || (!candidate.spec().runsIndefinitely && this->fitsAnyWorker(candidate));
}

bool Planner::endingTasksWait() const
{
    return std::any_of(this->lanes.begin(), this->lanes.end(), [](const PlanLane &lane) {
        return !lane.fills && (lane.endingUnplaced || lane.endingUnplacedBefore);
    });
}

bool Planner::reserveForMove(JobEntry &job, const TaskRef &task, Instant now)
{
    PlanCandidate candidate;
    candidate.job = &job;
    candidate.occurrence = task.occurrence;
    candidate.step = task.step;
    const TaskRequest request = this->makeTaskRequest(candidate);
    const Placement placement(now, this->pressures);
    Worker *best = nullptr;
    double bestScore = 0.0;
    for (auto &[id, worker] : this->workers.workers()) {
        const std::optional<double> score =
                worker.reservation ? std::nullopt : placement.scoreOf(worker, request);
        if (score && (best == nullptr || *score > bestScore)) {
            best = &worker;
            bestScore = *score;
        }
    }
    if (best != nullptr) {
        this->reservations.reserveOn(*best, request.ref, request.step->reserved(), now);
    }
    return best != nullptr;
}

void Planner::sweepReservations(Instant now)
{
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + reservationInterval;
    std::erase_if(this->searchPauses, [now](const auto &each) { return now >= each.second; });
    this->reservations.sweep(now, [this](const StepRef &ref) -> std::uint32_t {
        const JobEntry *job = this->jobs.find(ref.job);
        if (job == nullptr || job->hasEnded()) {
            return 0;
        }
        const StepState &step = job->occurrences.at(ref.occurrence).steps.at(ref.step);
        const StepSpec &spec = job->spec.steps[ref.step];
        if (!spec.runsIndefinitely && hasRuns(*job, ref.occurrence)) {
            return 0;
        }
        return step.tasks.open() + this->listener.movingTasks(ref);
    });
}

void Planner::turnCensus(PlanLane &lane, Instant now)
{
    if (lane.openCensus) {
        for (std::size_t at = lane.next; at < lane.queue.size(); ++at) {
            const PlanCandidate &candidate = lane.queue[at];
            lane.openCensus->add(WaitReason::NotReached, candidate.ref(), candidate.age);
        }
        lane.census = *lane.openCensus;
        lane.openCensus.reset();
        this->describeLongestWait(lane, now);
    }
    if (now >= lane.nextCensus) {
        lane.nextCensus = now + censusInterval;
        lane.openCensus.emplace();
    }
}

void Planner::describeLongestWait(PlanLane &lane, Instant now) const
{
    std::optional<LongestWait> longest = lane.census.longest();
    JobEntry *job = longest ? this->jobs.find(longest->job) : nullptr;
    if (job == nullptr || job->hasEnded()) {
        return;
    }
    PlanCandidate candidate;
    candidate.job = job;
    candidate.occurrence = longest->occurrence;
    candidate.step = longest->step;
    WaitingJob waitingJob = this->describeWaiting(lane, *job, candidate.occurrence);
    candidate.riskAllowed = riskAllowedFor(waitingJob);
    waitingJob.runsIndefinitely = candidate.spec().runsIndefinitely;
    waitingJob.waited = longest->age;
    const TaskRequest request = this->makeTaskRequest(candidate);
    const std::optional<Instant> at = this->reservations.roomExpectedAt(request, now);
    const TaskStates &tasks = job->occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
    longest->size = candidate.spec().reserved();
    longest->roomExpectedIn = at ? std::optional(std::max(*at, now) - now) : std::nullopt;
    longest->starving = isStarving(waitingJob);
    longest->stepRuns = static_cast<std::uint32_t>(tasks.size() - tasks.open() - tasks.succeeded());
    longest->jobRuns = waitingJob.hasRuns;
    longest->obstacles =
            Placement(now, this->pressures).obstacles(this->workers.workers(), request);
    lane.census.describeLongest(*longest);
}

WaitReason Planner::countUnplaced(PlanLane &lane, const PlanCandidate &candidate, Instant now)
{
    if (!lane.openCensus) {
        return WaitReason::NoWorker;
    }
    const Placement placement(now, this->pressures);
    const WaitReason reason =
            placement.obstacle(this->workers.workers(), this->makeTaskRequest(candidate));
    lane.openCensus->add(reason, candidate.ref(), candidate.age);
    return reason;
}

} // namespace bulrush
