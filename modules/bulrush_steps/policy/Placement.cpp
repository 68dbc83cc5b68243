#include "bulrush_steps/policy/Placement.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Starts on one worker that may wait for their answers at once. */
constexpr std::uint32_t mostOrdersInFlight = 6;

/** What one serving task more over its bound takes off a worker's score for a filling task. */
constexpr double riskWeight = 5.0;

/** The load of serving tasks is taken as it will be after this time: a filling task stays a while.
 */
constexpr milliseconds fillOutlook { 1000 };

/** What a full pressure added to serving tasks takes off: room is left beside tasks that are
   pressed easily for the filling tasks that do not press on them. */
constexpr double pressureWeight = 2.0;

/** A filling task starts only where at least this share of its processors is unused. */
constexpr double leastFillShare = 0.7;

/** Of a worker's memory, the share that filling tasks leave to work that comes before them. */
constexpr double memoryShareLeftByFills = 0.12;

/** What a full share of failed runs takes off a worker's score. */
constexpr double failurePenalty = 3.0;

/** What an earlier failure of the same task takes off. */
constexpr double failedHerePenalty = 2.0;

/** What being away from the rack of the data takes off. */
constexpr double awayPenalty = 1.5;

/** What each sibling on the same worker takes off. */
constexpr double siblingPenalty = 0.03;

} // namespace

double Placement::shareOf(const Worker &worker, const StepSpec &step)
{
    return worker.shareOf(static_cast<double>(step.size.cpuMilli));
}

double Placement::riskOfFilling(const Worker &worker, const StepSpec &step) const
{
    return this->pressures.riskBeside(worker, step.image, shareOf(worker, step),
                                      this->now + fillOutlook);
}

bool Placement::couldEverHold(const Worker &worker, const TaskRequest &request)
{
    const StepSpec &step = *request.step;
    const std::vector<std::string> &labels = worker.entry.labels;
    const bool labelled = step.requiredLabel.empty()
            || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    return worker.entry.service == request.service && labelled
            && step.reserved().fitsInto(worker.entry.capacity);
}

bool Placement::hasRoom(const Worker &worker, const TaskRequest &request)
{
    const StepSpec &step = *request.step;
    if (!step.reserved().fitsInto(worker.free())) {
        return false;
    }
    if (step.mostPerWorker == 0) {
        return true;
    }
    const auto held = request.siblings.find(worker.entry.worker);
    return held == request.siblings.end() || held->second < step.mostPerWorker;
}

bool Placement::mayHold(const Worker &worker, const TaskRequest &request) const
{
    const bool usable = worker.listed && !worker.entry.draining && worker.confirmed
            && worker.onRoster && this->now >= worker.avoidUntil
            && worker.ordersInFlight < mostOrdersInFlight;
    return usable && hasRoom(worker, request) && couldEverHold(worker, request);
}

std::optional<double> Placement::fillScore(const Worker &worker, const TaskRequest &request) const
{
    const StepSpec &step = *request.step;
    if (this->now < worker.fillsBlockedUntil) {
        return std::nullopt;
    }
    const auto memory = static_cast<double>(worker.entry.capacity.memoryMb);
    const auto memoryLeft = static_cast<double>(worker.free().memoryMb - step.size.memoryMb);
    if (memoryLeft < memoryShareLeftByFills * memory) {
        return std::nullopt;
    }
    const double unused = worker.fillRoom - static_cast<double>(worker.fillDemand());
    if (unused < leastFillShare * static_cast<double>(step.size.cpuMilli)) {
        return std::nullopt;
    }
    const double risk = this->riskOfFilling(worker, step);
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
        score -= awayPenalty;
    }
    if (step.oneRack && !request.rack.empty() && request.rack != worker.rack) {
        score -= awayPenalty;
    }
    const auto held = request.siblings.find(worker.entry.worker);
    if (held != request.siblings.end()) {
        score -= siblingPenalty * held->second;
    }
    const bool failedHere =
            std::find(request.failedOn.begin(), request.failedOn.end(), worker.entry.worker)
            != request.failedOn.end();
    return failedHere ? score - failedHerePenalty : score;
}

std::optional<double> Placement::judge(const Worker &worker, const TaskRequest &request) const
{
    if (!this->mayHold(worker, request)) {
        return std::nullopt;
    }
    if (!request.step->fills) {
        // The fullest worker first: what is left over stays in pieces that large tasks fit into.
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
        const std::optional<double> score = this->judge(worker, request);
        if (score && (best == nullptr || *score > bestScore)) {
            best = &worker;
            bestScore = *score;
        }
    }
    return best;
}

} // namespace bulrush
