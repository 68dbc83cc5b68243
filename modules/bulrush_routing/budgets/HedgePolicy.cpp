#include "bulrush_routing/budgets/HedgePolicy.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

/** Relative step size of the quantile estimate. */
constexpr double relativeStep = 0.05;

/** Estimate before the first answer, in seconds. */
constexpr double initialSeconds = 0.1;

/** Minimum delay before a hedge is sent. */
constexpr Duration minDelay = milliseconds(2);

} // namespace

void HedgePolicy::recordAnswerTime(Duration time)
{
    const double taken = std::chrono::duration<double>(time).count();
    if (this->estimateSeconds == 0) {
        this->estimateSeconds = initialSeconds;
    }
    // Stochastic approximation of the quantile q: an answer time above the estimate raises it by a
    // step proportional to q, any other lowers it by a step proportional to 1 - q.
    const double direction = taken > this->estimateSeconds ? quantile : quantile - 1;
    this->estimateSeconds *= 1 + relativeStep * direction;
}

Duration HedgePolicy::delay() const
{
    const double estimate = this->estimateSeconds == 0 ? initialSeconds : this->estimateSeconds;
    return std::max(minDelay, duration_cast<Duration>(std::chrono::duration<double>(estimate)));
}

bool HedgePolicy::tryWithdraw(RetryBudget &budget) const
{
    return budget.tryWithdrawAbove(retryReserve);
}

} // namespace bulrush::routing
