#include "bulrush_steps/dispatch/PassedOverSteps.h"

#include "bulrush_steps/dispatch/PlanLane.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** How long a step is passed over before it comes first. */
constexpr seconds maxPassedOver { 1 };

} // namespace

void PassedOverSteps::note(const std::vector<PlanCandidate> &order, std::size_t next, Instant now)
{
    std::map<StepRef, Instant> passedOver;
    for (std::size_t at = next; at < order.size(); ++at) {
        const PlanCandidate &candidate = order[at];
        if (candidate.starving && !candidate.job->hasEnded()) {
            const auto known = this->since.find(candidate.ref());
            passedOver.emplace(candidate.ref(), known == this->since.end() ? now : known->second);
        }
    }
    this->since = std::move(passedOver);
    this->lastPlanned = next;
}

void PassedOverSteps::rankFirst(std::vector<PlanCandidate> &order, Instant now) const
{
    std::vector<std::pair<Instant, PlanCandidate *>> overdue;
    for (PlanCandidate &candidate : order) {
        const auto known = this->since.find(candidate.ref());
        if (candidate.starving && known != this->since.end()
            && now - known->second >= maxPassedOver) {
            overdue.emplace_back(known->second, &candidate);
        }
    }
    std::stable_sort(overdue.begin(), overdue.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    overdue.resize(std::min(overdue.size(), std::max<std::size_t>(1, this->lastPlanned / 2)));
    for (const auto &[passedOverSince, candidate] : overdue) {
        WaitingJob waiting;
        waiting.age = now - passedOverSince;
        candidate->rank = starvingRank(waiting);
    }
}

} // namespace bulrush
