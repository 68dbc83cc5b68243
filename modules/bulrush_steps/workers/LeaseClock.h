#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/WorkerCommands.h"

#include <optional>

namespace bulrush {

/** How long after it was handed over for sending a command is expected to be carried out at the
    latest. The worker's process may be another one by then. */
inline constexpr milliseconds maxCommandDelay { 2000 };

/** Returns the maximum local duration of a span of a worker's clock, which may run slow. */
milliseconds maxLocalDuration(milliseconds workerSpan);

/** Returns when a lease is over for certain that a worker granted itself on its own clock.
    @param takenBy when it had taken the command at the latest */
Instant leaseExpiry(Instant takenBy, milliseconds workerSpan);

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
        gone on since, at no less than the lowest rate. Clocks of later processes are lower, since
        each begins with its process.
        @param sentAt when the request was sent that the reading answers */
    bool continues(WorkerMillis clock, Instant sentAt) const;

    /** Discards all state. Called when the worker's process has restarted. */
    void reset();

    /** Returns the worker's clock at a moment, extrapolated from the last reading at the rate of
        the local clock; nullopt before the first reading. A clock that runs slow may show less. */
    std::optional<WorkerMillis> clockAt(Instant now) const;

    /** Records a lease end that was sent to the worker, whether or not it was answered. */
    void recordLeaseEnd(WorkerMillis leaseEnd);

    /** Records that the worker's process may have a lease that was not counted on its clock:
       granted by a command that was made for a former process, or by a former owner.
        @param until when such a lease has expired for certain; replaces an earlier moment */
    void recordForeignLease(Instant until) { this->foreignLeaseUntil = until; }

    /** Returns when all leases of the process that the last reading was of have expired for
       certain; nullopt before the first reading. */
    std::optional<Instant> leaseExpiredAt() const;

    /** Returns whether that moment follows from recordForeignLease(). */
    bool endsWithForeignLease() const;

private:
    struct Reading
    {
        WorkerMillis clock = 0;
        Instant arrivedAt {};
    };

    /** Returns when the leases that were counted on the process's clock have expired. */
    Instant countedLeaseExpiredAt(const Reading &last) const;

    std::optional<Reading> reading;
    WorkerMillis latestLeaseEnd = 0;
    Instant foreignLeaseUntil {};
};

} // namespace bulrush
