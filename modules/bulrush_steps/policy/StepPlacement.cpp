#include "bulrush_steps/policy/StepPlacement.h"

#include <algorithm>

namespace bulrush {

bool UnplacedStep::rulesOut(const StepSpec &other, const ServiceId &otherService,
                            double otherRiskAllowed, bool otherIsStarving) const
{
    if (this->service != otherService || this->step->fills != other.fills
        || !this->step->size.fitsInto(other.size)) {
        return false;
    }
    if (!other.fills) {
        // Only overdue long-running tasks may pass reservations.
        return (this->starving && this->step->runsIndefinitely) || !otherIsStarving
                || !other.runsIndefinitely;
    }
    // Images interfere to different degrees: another image may find a worker.
    if (this->step->image != other.image) {
        return false;
    }
    return this->starving || (!otherIsStarving && otherRiskAllowed <= this->riskAllowed);
}

StepPlacement::StepPlacement(const Placement &placementPolicy, std::map<TargetId, Worker> &workers,
                             const TaskRequest &request)
    : placement(&placementPolicy)
{
    for (auto &[id, worker] : workers) {
        this->add(worker, request);
    }
    std::make_heap(this->candidates.begin(), this->candidates.end(), isWorse);
}

bool StepPlacement::isWorse(const ScoredWorker &one, const ScoredWorker &other)
{
    if (one.score != other.score) {
        return one.score < other.score;
    }
    return other.worker->entry.worker < one.worker->entry.worker;
}

void StepPlacement::add(Worker &worker, const TaskRequest &request)
{
    if (const std::optional<double> bound = this->placement->scoreBound(worker, request)) {
        this->candidates.push_back({ &worker, *bound, !request.step->fills });
    }
}

Worker *StepPlacement::choose(const TaskRequest &request)
{
    while (!this->candidates.empty() && !this->candidates.front().exact) {
        std::pop_heap(this->candidates.begin(), this->candidates.end(), isWorse);
        Worker &worker = *this->candidates.back().worker;
        this->candidates.pop_back();
        if (const std::optional<double> score = this->placement->scoreOf(worker, request)) {
            this->candidates.push_back({ &worker, *score, true });
            std::push_heap(this->candidates.begin(), this->candidates.end(), isWorse);
        }
    }
    return this->candidates.empty() ? nullptr : this->candidates.front().worker;
}

void StepPlacement::update(Worker &worker, const TaskRequest &request)
{
    const bool chosen = !this->candidates.empty() && this->candidates.front().worker == &worker;
    if (chosen) {
        std::pop_heap(this->candidates.begin(), this->candidates.end(), isWorse);
        this->candidates.pop_back();
    } else {
        std::erase_if(this->candidates,
                      [&worker](const ScoredWorker &each) { return each.worker == &worker; });
        std::make_heap(this->candidates.begin(), this->candidates.end(), isWorse);
    }
    const std::size_t before = this->candidates.size();
    this->add(worker, request);
    if (this->candidates.size() > before) {
        std::push_heap(this->candidates.begin(), this->candidates.end(), isWorse);
    }
}

} // namespace bulrush
