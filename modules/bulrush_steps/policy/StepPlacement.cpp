#include "bulrush_steps/policy/StepPlacement.h"

#include <algorithm>

namespace bulrush {

bool UnplacedStep::rulesOut(const StepSpec &other, double otherRiskAllowed) const
{
    if (this->step->fills != other.fills || !this->step->size.fitsInto(other.size)) {
        return false;
    }
    // Images press differently: where one finds no place, another may.
    return !other.fills
            || (this->step->image == other.image && otherRiskAllowed <= this->riskAllowed);
}

StepPlacement::StepPlacement(const Placement &placementPolicy, std::map<TargetId, Worker> &workers,
                             const TaskRequest &request)
    : placement(&placementPolicy)
{
    for (auto &[id, worker] : workers) {
        if (const std::optional<double> score = this->placement->judge(worker, request)) {
            this->places.push_back({ &worker, *score });
        }
    }
}

Worker *StepPlacement::choose() const
{
    const auto best = std::max_element(
            this->places.begin(), this->places.end(),
            [](const Place &one, const Place &other) { return one.score < other.score; });
    return best == this->places.end() ? nullptr : best->worker;
}

void StepPlacement::taken(Worker &worker, const TaskRequest &request)
{
    const auto place =
            std::find_if(this->places.begin(), this->places.end(),
                         [&worker](const Place &each) { return each.worker == &worker; });
    if (place == this->places.end()) {
        return;
    }
    if (const std::optional<double> score = this->placement->judge(worker, request)) {
        place->score = *score;
    } else {
        this->places.erase(place);
    }
}

} // namespace bulrush
