#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_routing/budgets/RetryBudget.h"

namespace bulrush::routing {

/**
    Decides when an idempotent request is sent a second time while its first attempt is open. The
    delay is a high quantile of the answer times. A hedge uses the retry budget, but only tokens
    above a reserve that is kept for retries.
*/
class HedgePolicy
{
public:
    /** Tokens of the retry budget that are reserved for retries. */
    static constexpr double retryReserve = 10.0;

    /** Updates the quantile estimate with the duration of an answer. */
    void recordAnswerTime(Duration time);

    /** Returns how long to wait for an answer before the hedge is sent. */
    Duration delay() const;

    /** Takes a token for a hedge; returns false if no token above the reserve is left. */
    bool tryWithdraw(RetryBudget &budget) const;

private:
    static constexpr double quantile = 0.995;

    double estimateSeconds = 0;
};

} // namespace bulrush::routing
