#include "bulrush_steps/policy/StepPlacement.h"

#include <algorithm>

namespace bulrush {

bool UnplacedStep::rulesOut(const StepSpec &other, double otherRiskAllowed) const
{
    if (this->step->fills != other.fills || !this->step->size.fitsInto(other.size)) {
        return false;
    }
    // Images interfere to different degrees: another image may find a worker.
    return !other.fills
            || (this->step->image == other.image && otherRiskAllowed <= this->riskAllowed);
}

StepPlacement::StepPlacement(const Placement &placementPolicy, std::map<TargetId, Worker> &workers,
                             const TaskRequest &request)
    : placement(&placementPolicy)
{
    for (auto &[id, worker] : workers) {
        if (const std::optional<double> score = this->placement->scoreOf(worker, request)) {
            this->candidates.push_back({ &worker, *score });
        }
    }
}

Worker *StepPlacement::choose() const
{
    const auto best = std::max_element(this->candidates.begin(), this->candidates.end(),
                                       [](const ScoredWorker &one, const ScoredWorker &other) {
                                           return one.score < other.score;
                                       });
    return best == this->candidates.end() ? nullptr : best->worker;
}

void StepPlacement::updateScore(Worker &worker, const TaskRequest &request)
{
    const auto candidate =
            std::find_if(this->candidates.begin(), this->candidates.end(),
                         [&worker](const ScoredWorker &each) { return each.worker == &worker; });
    if (candidate == this->candidates.end()) {
        return;
    }
    if (const std::optional<double> score = this->placement->scoreOf(worker, request)) {
        candidate->score = *score;
    } else {
        this->candidates.erase(candidate);
    }
}

} // namespace bulrush
