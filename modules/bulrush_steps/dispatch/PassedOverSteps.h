#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <map>
#include <vector>

namespace bulrush {

struct PlanCandidate;

/**
    The starving steps of an order that was ranked anew before their turn came.

    Those that have been passed over for long come first in the next orders, so that each is planned
    within a bounded time also while the owner lacks the time to plan all.
*/
class PassedOverSteps
{
public:
    /** Notes which starving steps of an order were planned and which were not.
        @param next the position of the first step that was not planned */
    void note(const std::vector<PlanCandidate> &order, std::size_t next, Instant now);

    /** Gives steps that have been passed over for long the first ranks of a new order, the longest
        wait first: half as many as steps were planned of the last order. */
    void rankFirst(std::vector<PlanCandidate> &order, Instant now) const;

    void clear() { *this = PassedOverSteps(); }

private:
    /** Since when each step was passed over. */
    std::map<StepRef, Instant> since;
    std::size_t lastPlanned = 0;
};

} // namespace bulrush
