#pragma once

#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"

#include <functional>
#include <string_view>

namespace bulrush {

class DecisionLog;

/** Whether the store answers this node, judged by all calls that are made anyway. */
class StoreHealth
{
public:
    StoreHealth(const Clock &clock, DecisionLog &decisions);

    /** Takes the outcome of a call. */
    void note(std::string_view call, StoreOutcome outcome);

    /** Returns whether the store has not answered for too long. Logs a change. */
    bool lost();

    /** Returns since when it is lost, or when it was last reached. */
    Instant lastReached() const { return this->reachedAt; }

private:
    const Clock &clock;
    DecisionLog &decisions;
    Instant reachedAt;
    bool wasLost = false;
};

} // namespace bulrush
