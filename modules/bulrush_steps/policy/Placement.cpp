#include "bulrush_steps/policy/Placement.h"

#include <algorithm>

namespace bulrush {

namespace {

/** The maximum number of unanswered start requests to one worker. */
constexpr std::uint32_t maxStartsInFlightPerWorker = 6;

/** Penalty on a worker's score for a filling task, for each serving task that is expected to exceed
    its tail latency target. */
constexpr double riskWeight = 5.0;

/** How far ahead the load of serving tasks is predicted, since a filling task keeps running on the
    worker. */
constexpr milliseconds riskHorizon { 1000 };

/** Penalty for each unit of pressure that is added to serving tasks. Workers whose serving tasks
    are sensitive to the task's image stay available to filling tasks of images that do not slow
    them. */
constexpr double pressureWeight = 2.0;

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

/** Penalty for each sibling on the same worker. */
constexpr double siblingPenalty = 0.03;

} // namespace

double Placement::shareOf(const Worker &worker, const StepSpec &step)
{
    return worker.shareOf(static_cast<double>(step.size.cpuMilli));
}

double Placement::fillRisk(const Worker &worker, const StepSpec &step) const
{
    return this->pressures.expectedOverTarget(worker, step.image, shareOf(worker, step),
                                              this->now + riskHorizon);
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
    const StepSpec &step = *request.step;
    if (!step.reserved().fitsInto(worker.free())) {
        return false;
    }
    if (step.maxPerWorker == 0) {
        return true;
    }
    const auto siblingCount = request.siblings.find(worker.entry.worker);
    return siblingCount == request.siblings.end() || siblingCount->second < step.maxPerWorker;
}

bool Placement::canAcceptNow(const Worker &worker, const TaskRequest &request) const
{
    const bool usable = worker.listed && !worker.entry.draining && worker.confirmed
            && worker.onRoster && this->now >= worker.avoidUntil
            && worker.commandsInFlight < maxStartsInFlightPerWorker;
    return usable && hasCapacity(worker, request) && isEligible(worker, request);
}

std::optional<double> Placement::fillScore(const Worker &worker, const TaskRequest &request) const
{
    const StepSpec &step = *request.step;
    if (this->now < worker.fillsBlockedUntil) {
        return std::nullopt;
    }
    const auto memory = static_cast<double>(worker.entry.capacity.memoryMb);
    const auto remainingMemory = static_cast<double>(worker.free().memoryMb - step.size.memoryMb);
    if (remainingMemory < reservedMemoryShare * memory) {
        return std::nullopt;
    }
    const double unused = worker.availableFillCpuMilli - static_cast<double>(worker.fillDemandMilli);
    if (unused < minUnusedShare * static_cast<double>(step.size.cpuMilli)) {
        return std::nullopt;
    }
    const double risk = this->fillRisk(worker, step);
    if (risk > request.riskAllowed) {
        return std::nullopt;
    }
    const double pressure =
            this->pressures.addedPressure(worker, step.image, shareOf(worker, step));
    return worker.shareOf(unused) - riskWeight * risk - pressureWeight * pressure;
}

double Placement::commonScore(const Worker &worker, const TaskRequest &request)
{
    const StepSpec &step = *request.step;
    double score = -failurePenalty * worker.failureShare;
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

std::optional<double> Placement::scoreOf(const Worker &worker, const TaskRequest &request) const
{
    if (!this->canAcceptNow(worker, request)) {
        return std::nullopt;
    }
    if (!request.step->fills) {
        // Best fit: prefers the worker with the fewest free processors, which keeps contiguous free
        // capacity on other workers for large tasks.
        return commonScore(worker, request)
                - worker.shareOf(static_cast<double>(worker.free().cpuMilli));
    }
    const std::optional<double> score = this->fillScore(worker, request);
    return score ? std::optional(*score + commonScore(worker, request)) : std::nullopt;
}

Worker *Placement::choose(std::map<TargetId, Worker> &workers, const TaskRequest &request) const
{
    Worker *best = nullptr;
    double bestScore = 0.0;
    for (auto &[id, worker] : workers) {
        const std::optional<double> score = this->scoreOf(worker, request);
        if (score && (best == nullptr || *score > bestScore)) {
            best = &worker;
            bestScore = *score;
        }
    }
    return best;
}

} // namespace bulrush
