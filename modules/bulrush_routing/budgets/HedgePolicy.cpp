#include "bulrush_routing/budgets/HedgePolicy.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

/** Relative step of the quantile estimate. */
constexpr double stepShare = 0.05;

/** Before any answer was seen, in seconds. */
constexpr double startSeconds = 0.1;

/** A hedge is never sent sooner than this. */
constexpr Duration shortestDelay = milliseconds(2);

} // namespace

void HedgePolicy::noteAnswerTime(Duration time)
{
    const double taken = std::chrono::duration<double>(time).count();
    if (this->estimateSeconds == 0) {
        this->estimateSeconds = startSeconds;
    }
    // Stochastic approximation: rises by q for an answer above, falls by 1 - q for one below.
    const double push = taken > this->estimateSeconds ? quantile : quantile - 1;
    this->estimateSeconds *= 1 + stepShare * push;
}

Duration HedgePolicy::delay() const
{
    const double estimate = this->estimateSeconds == 0 ? startSeconds : this->estimateSeconds;
    return std::max(shortestDelay,
                    duration_cast<Duration>(std::chrono::duration<double>(estimate)));
}

bool HedgePolicy::approve(RetryBudget &budget) const
{
    return budget.spendAbove(retryReserve);
}

} // namespace bulrush::routing
