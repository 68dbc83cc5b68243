#pragma once

#include "bulrush_core/time/Clock.h"

#include <string>
#include <vector>

namespace bulrush {

/** The durations on which the safety of leases depends. @see docs/TIMES.md */
struct Durations
{
    Duration lease = seconds(60); ///< how long a worker runs an attempt without renewal
    Duration exchangePeriod = seconds(15); ///< between two exchanges with a worker
    Duration exchangeTimeout = seconds(5); ///< a later answer is ignored
    Duration transit = seconds(10); ///< a request older than this renews and starts nothing
    Duration renewalHorizon = hours(3); ///< a node with an older view of the log grants no lease
    Duration clockAllowance = seconds(10); ///< greatest drift between two clocks in a lapse wait
    /** After this long without an answer, a worker is reported, and revoked if it has open
        attempts. */
    Duration silence = seconds(90);
    Duration listLag = seconds(120); ///< greatest age of the platform's list of VMs
    Duration appendTimeout = milliseconds(500); ///< an append not read back by then is sent again
    Duration batchInterval = seconds(2); ///< between two batches without urgent tasks
    Duration operationInterval = seconds(5); ///< between two operations without urgent changes
    Duration checkpointWait = seconds(30); ///< how long an eviction waits for a checkpoint
    Duration returnAfter = seconds(60); ///< tasks that fit on no worker are returned after this
    Duration dropInterval = minutes(1); ///< between two removals of completed tasks
    Duration snapshotInterval = hours(6); ///< between two snapshots of a stream
    Duration retention = hours(24); ///< how long the log keeps a record
    Duration longestOutage = hours(2); ///< longest platform outage that work must survive

    /** Returns how long after a revocation was read back every lease must have expired. */
    Duration lapseWait() const;

    /** Returns how long a VM must be missing from the platform's list to be treated as lost. */
    Duration goneWait() const;
};

/** The greatest drift between two monotonic clocks, in parts per million. */
constexpr std::int64_t clockDriftPpm = 500;

/** The time within which an urgent task must start. */
constexpr Duration urgentStartBound = seconds(3);

/** Returns a description of each inequality that does not hold; empty if all hold. */
std::vector<std::string> checkDurations(const Durations &durations);

} // namespace bulrush
