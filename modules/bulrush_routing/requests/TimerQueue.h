#pragma once

#include "bulrush_routing/requests/Request.h"

#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace bulrush::routing {

/** The request's deadline. */
struct DeadlineTimer
{
    RequestId request;
};

/** The end of the request's wait for room. */
struct WaitTimer
{
    RequestId request;
};

/** The time to look whether an attempt has gone silent. */
struct SilenceTimer
{
    AttemptId attempt;
};

/** The time to send a hedge of an attempt. */
struct HedgeTimer
{
    AttemptId attempt;
};

using Timer = std::variant<DeadlineTimer, WaitTimer, SilenceTimer, HedgeTimer>;

/** Timers in order of time. They are not cancelled; whoever takes one checks that it matters. */
class TimerQueue
{
public:
    void add(Instant due, Timer timer) { this->entries.push(Entry { due, timer }); }

    /** Returns when the first timer is due. */
    std::optional<Instant> nextDue() const
    {
        return this->entries.empty() ? std::nullopt : std::optional(this->entries.top().due);
    }

    /** Takes a timer that is due by now. */
    std::optional<Timer> take(Instant now)
    {
        if (this->entries.empty() || this->entries.top().due > now) {
            return std::nullopt;
        }
        const Timer timer = this->entries.top().timer;
        this->entries.pop();
        return timer;
    }

private:
    struct Entry
    {
        Instant due;
        Timer timer;

        bool operator<(const Entry &other) const { return this->due > other.due; }
    };

    std::priority_queue<Entry> entries;
};

} // namespace bulrush::routing
