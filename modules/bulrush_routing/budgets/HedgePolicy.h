#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_routing/budgets/RetryBudget.h"

namespace bulrush::routing {

/**
    Decides when an idempotent request is sent a second time while the first attempt is open:
    after a time that few answers exceed, and only from what the retry budget can spare.
*/
class HedgePolicy
{
public:
    /** Tokens left to retries. */
    static constexpr double retryReserve = 10.0;

    /** Takes in how long an answer took. */
    void noteAnswerTime(Duration time);

    /** Returns how long to wait for an answer before the hedge is sent. */
    Duration delay() const;

    /** Takes the hedge's token; returns whether the hedge may be sent. */
    bool approve(RetryBudget &budget) const;

private:
    static constexpr double quantile = 0.995;

    double estimateSeconds = 0;
};

} // namespace bulrush::routing
