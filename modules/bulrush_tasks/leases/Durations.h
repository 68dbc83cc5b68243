#pragma once

#include "bulrush_core/time/Clock.h"

#include <string>
#include <vector>

namespace bulrush {

/** Every duration that the safety of leases rests on. @see docs/TIMES.md */
struct Durations
{
    Duration lease = seconds(60); ///< how long a worker runs an attempt unrenewed
    Duration exchangePeriod = seconds(15); ///< between two exchanges with a worker
    Duration exchangeTimeout = seconds(5); ///< a later answer counts as none
    Duration transit = seconds(10); ///< an exchange older than this has no effect
    Duration renewalHorizon = hours(3); ///< an older view of the log renews nothing
    Duration clockAllowance = seconds(10); ///< how far two clocks drift apart in a lapse wait
    Duration silence = seconds(90); ///< a worker is revoked after this long unanswered
    Duration listLag = seconds(120); ///< how old the platform's list of VMs may be
    Duration appendTimeout = milliseconds(500); ///< an unanswered append is sent again
    Duration batchInterval = seconds(2); ///< between two batches without urgent work
    Duration operationInterval = seconds(5); ///< between two operations without urgent work
    Duration checkpointWait = seconds(30); ///< an eviction waits so long for a checkpoint
    Duration returnAfter = seconds(60); ///< tasks that fit nowhere go back to all groups
    Duration dropInterval = minutes(1); ///< completed tasks are dropped this often
    Duration snapshotInterval = hours(6); ///< between two snapshots of a stream
    Duration retention = hours(24); ///< how long the log keeps a record
    Duration longestOutage = hours(2); ///< of the platform, that work is to survive

    /** Returns how long after a revocation was read back no lease can be alive any more. */
    Duration lapseWait() const;

    /** Returns how long a VM must be missing from the platform's list to count as gone. */
    Duration goneWait() const;
};

/** How far two monotonic clocks may drift apart, in parts per million. */
constexpr std::int64_t clockDriftPpm = 500;

/** The time within which an urgent task is to start. */
constexpr Duration urgentStartBound = seconds(3);

/** Returns each inequality that does not hold, in words; empty when all hold. */
std::vector<std::string> checkDurations(const Durations &durations);

} // namespace bulrush
