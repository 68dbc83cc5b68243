#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/WorkerCommands.h"

#include <optional>

namespace bulrush {

/** Returns the maximum local duration of a span of a worker's clock, which may run slow. */
milliseconds maxLocalDuration(milliseconds workerSpan);

/**
    Maps a worker's steady clock to the local clock, and computes when its lease has ended for
    certain.

    A worker's clock may run slow, so a lease may last longer by the local clock than by the
    worker's clock.
*/
class LeaseClock
{
public:
    /** Records a clock reading that arrived with an answer of the worker. */
    void recordReading(WorkerMillis clock, Instant arrivedAt);

    /** Returns whether a reading can be of the process that the last reading was of: its clock has
        gone on since, at no less than the lowest rate.
        @param sentAt when the request was sent that the reading answers */
    bool continues(WorkerMillis clock, Instant sentAt) const;

    /** Discards all state. Called when the worker's process has restarted. */
    void reset();

    /** Returns the worker's clock at a moment, extrapolated from the last reading at the rate of
        the local clock; nullopt before the first reading. A clock that runs slow may show less. */
    std::optional<WorkerMillis> clockAt(Instant now) const;

    /** Records a lease end that was sent to the worker, whether or not it was answered. */
    void recordLeaseEnd(WorkerMillis leaseEnd);

    /** Returns when all leases that were sent have expired for certain; nullopt before the first
        reading. */
    std::optional<Instant> leaseExpiredAt() const;

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
