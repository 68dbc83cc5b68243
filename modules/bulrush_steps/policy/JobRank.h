#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <tuple>

namespace bulrush {

/** Up to this multiple of its objective, its late limit, a late job still has some value. */
inline constexpr int lateLimitFactor = 3;

/** A long-running task yields to short tasks for no longer than this, so that a constant supply of
    short tasks cannot starve it. */
inline constexpr milliseconds maxDeferral { 1500 };

/** A long-running task has a run again at the latest this long after its last one. */
inline constexpr milliseconds maxRestartWait { 6000 };

/** The properties of a waiting job that determine its rank. */
struct WaitingJob
{
    std::uint32_t priority = 0;
    bool runsIndefinitely = false;
    /** Time since the job was accepted, or since its occurrence was due. */
    Duration age {};
    /** Of a long-running step: how long the task has waited that waits longest. */
    Duration waited {};
    /** Expected time until the last task of the job ends, if the job started now. */
    Duration remaining {};
    /** The age up to which a finished job has its full value. */
    Duration objective {};
    /** The share of its tasks that have yet to be started, 0 to 1. */
    double unstartedShare = 1.0;
    /** Whether its tasks fill. */
    bool fills = false;
    /** Whether any of its tasks runs. */
    bool hasRuns = false;
};

/** The rank of a waiting job; the smallest rank starts first. */
struct JobRank
{
    std::uint32_t band = 0;
    std::uint32_t priority = 0;
    /** The share of the job's tasks left to start, divided by its chance to end in time. */
    double cost = 1.0;
    std::int64_t slackMs = 0;

    bool operator<(const JobRank &other) const
    {
        return std::tie(this->band, this->priority, this->cost, this->slackMs)
                < std::tie(other.band, other.priority, other.cost, other.slackMs);
    }
};

/**
    Ranks a waiting job for the case that capacity does not suffice for all jobs. Jobs that can
    still meet their objective come first, then jobs that are late but still have some value, then
    jobs that are too late. A late job of which little is left to start ranks with those of the band
    before. Within a band, jobs are ranked by the operators' priority, then by what is left to start
    in proportion to the chance that the job meets its objective, then by slack.

    An overloaded owner thus completes most of the jobs that it has begun, and begins those that
    still have time. Jobs of few tasks are begun and completed at once, so they gain least by it.
   With the least slack first, it would begin each job when its time has almost run out, and all
   jobs would be late.
*/
JobRank rankOf(const WaitingJob &job);

/** Returns whether a job has little slack left before it misses its objective. */
bool isUrgent(const WaitingJob &job);

/**
    Returns whether a job's wait must come to an end: it is long-running and has yielded to others
   for long enough, or none of its tasks runs and it is late if it fills, or else too late.

    Such a job gets the next room that holds one of its tasks, whatever its priority, and room is
   kept for it when none is free. Each task of a long-running job has this claim, of others the
   first only.
*/
bool isStarving(const WaitingJob &job);

/** Returns the rank of a job that is starving: before all others, the longest wait first. */
JobRank starvingRank(const WaitingJob &job);

} // namespace bulrush
