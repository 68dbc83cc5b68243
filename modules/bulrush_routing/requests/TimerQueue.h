#pragma once

#include "bulrush_routing/requests/Request.h"

#include <optional>
#include <queue>
#include <variant>
#include <vector>

namespace bulrush::routing {

/** Expires at the deadline of a request. */
struct DeadlineTimer
{
    RequestId request;
};

/** Expires when a request has been queued for the maximum time. */
struct QueueTimer
{
    RequestId request;
};

/** Triggers a check of the inactivity timeout of an attempt. */
struct InactivityTimer
{
    AttemptId attempt;
};

/** Triggers the hedge of an attempt. */
struct HedgeTimer
{
    AttemptId attempt;
};

using Timer = std::variant<DeadlineTimer, QueueTimer, InactivityTimer, HedgeTimer>;

/** Timers in order of their due times. They cannot be cancelled; the code that handles a timer
    checks whether it still applies. */
class TimerQueue
{
public:
    void add(Instant due, Timer timer) { this->entries.push(Entry { due, timer }); }

    /** Returns the due time of the first timer. */
    std::optional<Instant> nextDue() const
    {
        return this->entries.empty() ? std::nullopt : std::optional(this->entries.top().due);
    }

    /** Removes and returns the first timer if it is due. */
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
