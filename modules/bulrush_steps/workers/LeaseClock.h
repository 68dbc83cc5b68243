#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/WorkerOrders.h"

#include <optional>

namespace bulrush {

/** Returns how long a span of a worker's clock may last by ours: that clock may run slow. */
milliseconds longestByOurClock(milliseconds workerSpan);

/**
    Maps a worker's steady clock to ours and bounds when its lease has surely ended.

    A worker's clock may run slow, so a lease may last longer by our clock than by the worker's.
*/
class LeaseClock
{
public:
    /** Takes a reading that arrived with an answer. */
    void read(WorkerMillis clock, Instant arrivedAt);

    /** Forgets everything: the worker's process has started anew. */
    void reset();

    /** Returns the worker's clock at a moment, at the most; none before the first reading. */
    std::optional<WorkerMillis> clockAt(Instant now) const;

    /** Notes a lease end that was sent, answered or not. */
    void promised(WorkerMillis leaseEnd);

    /** Returns when no lease that was ever promised can still last; none while that is unknown. */
    std::optional<Instant> leaseOverAt() const;

private:
    struct Reading
    {
        WorkerMillis clock = 0;
        Instant arrivedAt {};
    };

    std::optional<Reading> reading;
    WorkerMillis latestLeaseEnd = 0;
};

} // namespace bulrush
