#include "bulrush_steps/policy/Placement.h"

#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

namespace {

/** The share of processor time with which a filling task starts that is beyond its allowed risk, in
    percent. */
constexpr std::uint32_t minFillPace = 5;

/** The maximum number of unanswered start requests to one worker. */
constexpr std::uint32_t maxStartsInFlightPerWorker = 6;

/** Penalty on a worker's score for a filling task, for each serving task that is expected to exceed
    its tail latency target. */
constexpr double riskWeight = 5.0;

/** How long the expected pressure on a worker's serving tasks is used again. */
constexpr milliseconds maxPressureAge { 100 };

/** Penalty for each unit of pressure that is added to serving tasks. Workers whose serving tasks
    are sensitive to the task's image stay available to filling tasks of images that do not slow
    them. */
constexpr double pressureWeight = 2.0;

/** Added to a worker's score for a starving filling task if there are others like it: until the
   pace of such a task is in force, it slows the serving tasks of its worker, so few workers get
   them. */
constexpr double gatheringBonus = 100.0;

/** A filling task starts only on a worker with at least this share of its processors unused. */
constexpr double minUnusedShare = 0.7;

/** The share of a worker's memory that filling tasks leave free for tasks that have precedence over
    them. */
constexpr double reservedMemoryShare = 0.12;

/** Penalty on a worker's score, scaled by the worker's share of failed runs. */
constexpr double failurePenalty = 3.0;

/** Penalty for a worker on which an earlier attempt of the task failed. */
constexpr double previousFailurePenalty = 2.0;

/** Penalty for a worker outside the rack of the task's data, or outside the rack of its siblings
    where the step prefers one rack. */
constexpr double remoteRackPenalty = 1.5;

/** Penalty for a worker that is slow after its start: a warm worker is preferred however full it
    is. */
constexpr double coldPenalty = 1.2;

/** Penalty for each sibling on the same worker. */
constexpr double siblingPenalty = 0.03;

/** Returns why a step waits that an obstacle keeps off the worker closest to accepting it. */
WaitReason reasonOf(WorkerObstacle obstacle)
{
    switch (obstacle) {
    case WorkerObstacle::NoWorker:
        return WaitReason::NoWorker;
    case WorkerObstacle::Evacuated:
        return WaitReason::Evacuated;
    case WorkerObstacle::NoRoom:
        return WaitReason::NoRoom;
    case WorkerObstacle::Paused:
        return WaitReason::Paused;
    case WorkerObstacle::FillBlocked:
    case WorkerObstacle::FillMemory:
    case WorkerObstacle::FillCpu:
        return WaitReason::FillLimits;
    case WorkerObstacle::Risk:
    case WorkerObstacle::None:
        break;
    }
    return WaitReason::Risk;
}

} // namespace

double Placement::shareOf(const Worker &worker, const StepSpec &step)
{
    return worker.shareOf(static_cast<double>(step.size.cpuMilli));
}

double Placement::unusedFillCpu(const Worker &worker)
{
    return worker.availableFillCpuMilli - static_cast<double>(worker.fillDemandMilli);
}

FillImpact Placement::fillImpact(Worker &worker, const StepSpec &step) const
{
    const bool stale = this->now - worker.servingPressuresAt > maxPressureAge;
    if (!worker.servingPressures || stale) {
        worker.servingPressures = this->pressures.servingPressures(worker, this->now + riskHorizon);
        worker.servingPressuresAt = this->now;
    }
    if (this->coefficients.empty() || this->coefficientsImage != step.image) {
        this->coefficients = this->pressures.coefficientsOf(step.image);
        this->coefficientsImage = step.image;
    }
    return PressureModel::impactOf(*worker.servingPressures, this->coefficients,
                                   shareOf(worker, step));
}

std::uint32_t Placement::paceWithinRisk(Worker &worker, const TaskRequest &request) const
{
    const FillImpact impact = this->fillImpact(worker, *request.step);
    return impact.overTarget <= request.riskAllowed ? fullPace : minFillPace;
}

bool Placement::isEligible(const Worker &worker, const TaskRequest &request)
{
    const StepSpec &step = *request.step;
    const std::vector<std::string> &labels = worker.entry.labels;
    const bool hasLabel = step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    return worker.entry.service == request.service && hasLabel
            && step.reserved().fitsInto(worker.entry.capacity);
}

bool Placement::hasCapacity(const Worker &worker, const TaskRequest &request)
{
    return worker.hasRoomFor(request.ref, request.step->reserved(), request.isOverdue())
            && hasSiblingCapacity(worker, request);
}

bool Placement::hasSiblingCapacity(const Worker &worker, const TaskRequest &request)
{
    if (request.step->maxPerWorker == 0) {
        return true;
    }
    const auto siblingCount = request.siblings.find(worker.entry.worker);
    return siblingCount == request.siblings.end()
            || siblingCount->second < request.step->maxPerWorker;
}

bool Placement::isUsable(const Worker &worker, const TaskRequest &request) const
{
    return this->now >= worker.avoidUntil && worker.commandsInFlight < maxStartsInFlightPerWorker
            && !CrashSuspects::isSetApart(worker) && worker.coldStarts.mayStart(this->now)
            && !(request.apart && CrashSuspects::hasYoungRun(worker, this->now));
}

bool Placement::canAcceptNow(const Worker &worker, const TaskRequest &request) const
{
    return worker.takesStarts() && hasCapacity(worker, request) && isEligible(worker, request)
            && this->isUsable(worker, request);
}

WorkerObstacle Placement::obstacleOn(const Worker &worker, const TaskRequest &request) const
{
    if (!worker.isInService() || !isEligible(worker, request)) {
        return WorkerObstacle::NoWorker;
    }
    if (worker.evacuated) {
        return WorkerObstacle::Evacuated;
    }
    if (!hasCapacity(worker, request)) {
        return WorkerObstacle::NoRoom;
    }
    if (!this->isUsable(worker, request)) {
        return WorkerObstacle::Paused;
    }
    const WorkerObstacle limit =
            request.step->fills ? this->fillLimit(worker, *request.step) : WorkerObstacle::None;
    return limit == WorkerObstacle::None ? WorkerObstacle::Risk : limit;
}

WaitReason Placement::obstacle(const std::map<TargetId, Worker> &workers,
                               const TaskRequest &request) const
{
    WorkerObstacle closest = WorkerObstacle::NoWorker;
    for (const auto &[id, worker] : workers) {
        closest = std::max(closest, this->obstacleOn(worker, request));
    }
    return reasonOf(closest);
}

WorkerObstacles Placement::obstacles(std::map<TargetId, Worker> &workers, TaskRequest request) const
{
    request.starving = false;
    WorkerObstacles counts;
    for (auto &[id, worker] : workers) {
        const bool accepts = this->scoreOf(worker, request).has_value();
        const bool serves =
                std::any_of(worker.runs.begin(), worker.runs.end(),
                            [](const auto &each) { return each.second.tailTarget.count() > 0; });
        counts.add(accepts ? WorkerObstacle::None : this->obstacleOn(worker, request), serves);
    }
    return counts;
}

WorkerObstacle Placement::fillLimit(const Worker &worker, const StepSpec &step) const
{
    if (this->now < worker.fillsBlockedUntil) {
        return WorkerObstacle::FillBlocked;
    }
    const auto memory = static_cast<double>(worker.entry.capacity.memoryMb);
    const auto remainingMemory = static_cast<double>(worker.free().memoryMb - step.size.memoryMb);
    if (remainingMemory < reservedMemoryShare * memory) {
        return WorkerObstacle::FillMemory;
    }
    const double demand = minUnusedShare * static_cast<double>(step.size.cpuMilli);
    return unusedFillCpu(worker) < demand ? WorkerObstacle::FillCpu : WorkerObstacle::None;
}

bool Placement::hasFillCapacity(const Worker &worker, const StepSpec &step) const
{
    return this->fillLimit(worker, step) == WorkerObstacle::None;
}

double Placement::commonScore(const Worker &worker, const TaskRequest &request) const
{
    const StepSpec &step = *request.step;
    double score = -failurePenalty * worker.failureShare;
    if (worker.coldStarts.isCold(this->now)) {
        score -= coldPenalty;
    }
    if (!step.dataRack.empty() && step.dataRack != worker.rack) {
        score -= remoteRackPenalty;
    }
    if (step.prefersSingleRack && !request.rack.empty() && request.rack != worker.rack) {
        score -= remoteRackPenalty;
    }
    const auto siblingCount = request.siblings.find(worker.entry.worker);
    if (siblingCount != request.siblings.end()) {
        score -= siblingPenalty * siblingCount->second;
    }
    const bool failedHere =
            std::find(request.failedOn.begin(), request.failedOn.end(), worker.entry.worker)
            != request.failedOn.end();
    return failedHere ? score - previousFailurePenalty : score;
}

std::optional<double> Placement::scoreBound(const Worker &worker, const TaskRequest &request) const
{
    if (!this->canAcceptNow(worker, request)) {
        return std::nullopt;
    }
    if (!request.step->fills) {
        // Best fit: prefers the worker with the fewest free processors, which keeps contiguous free
        // capacity on other workers for large tasks. A task that may crash its worker goes to the
        // one with the fewest to lose.
        const double freeShare = worker.shareOf(static_cast<double>(worker.free().cpuMilli));
        return commonScore(worker, request) + (request.apart ? freeShare : -freeShare);
    }
    if (!request.starving && !this->hasFillCapacity(worker, *request.step)) {
        return std::nullopt;
    }
    const double gathered = request.starving && worker.limitedRuns > 0 ? gatheringBonus : 0.0;
    return commonScore(worker, request) + worker.shareOf(unusedFillCpu(worker)) + gathered;
}

std::optional<double> Placement::scoreOf(Worker &worker, const TaskRequest &request) const
{
    const std::optional<double> bound = this->scoreBound(worker, request);
    if (!bound || !request.step->fills) {
        return bound;
    }
    const FillImpact impact = this->fillImpact(worker, *request.step);
    if (!request.starving && impact.overTarget > request.riskAllowed) {
        return std::nullopt;
    }
    return *bound - riskWeight * impact.overTarget - pressureWeight * impact.addedPressure;
}

Worker *Placement::choose(std::map<TargetId, Worker> &workers, const TaskRequest &request) const
{
    Worker *best = nullptr;
    double bestScore = 0.0;
    for (auto &[id, worker] : workers) {
        const std::optional<double> bound = this->scoreBound(worker, request);
        if (!bound || (best != nullptr && *bound <= bestScore)) {
            continue;
        }
        const std::optional<double> score = this->scoreOf(worker, request);
        if (score && (best == nullptr || *score > bestScore)) {
            best = &worker;
            bestScore = *score;
        }
    }
    return best;
}

} // namespace bulrush
