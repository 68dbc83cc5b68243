#pragma once

#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"

#include <functional>
#include <string_view>

namespace bulrush {

class DecisionLog;

/** Delay after which callers are asked to retry while the store is unavailable. */
constexpr milliseconds storeRetryAfter { 2000 };

/** Tracks whether the store answers this node, from the outcomes of the calls that other components
    make. Makes no calls itself. */
class StoreHealth
{
public:
    StoreHealth(const Clock &clock, DecisionLog &decisions);

    /** Records the outcome of a call; any but Refused and Unknown counts as an answer. */
    void recordOutcome(std::string_view call, StoreOutcome outcome);

    /** Returns whether the store has not answered for too long. Logs when it becomes lost. */
    bool checkLost();

    /** Returns when the store last answered; the time of construction if it never has. For a lost
        store, this counts as the start of the outage. */
    Instant lastAnswerAt() const { return this->answeredAt; }

private:
    const Clock &clock;
    DecisionLog &decisions;
    Instant answeredAt;
    bool lost = false;
};

} // namespace bulrush
