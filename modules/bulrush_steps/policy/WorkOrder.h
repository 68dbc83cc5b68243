#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <tuple>

namespace bulrush {

/** What the order of waiting jobs is decided by. */
struct WaitingJob
{
    std::uint32_t priority = 0;
    bool lasting = false;
    /** Since the job was accepted, or its occurrence due. */
    Duration age {};
    /** Since some of its tasks wait for a start. */
    Duration waited {};
    /** Expected time until its last task could end if it started now. */
    Duration remaining {};
    /** The time within which it earns fully. */
    Duration objective {};
};

/** Smaller goes first. */
struct WorkRank
{
    std::uint32_t band = 0;
    std::uint32_t priority = 0;
    std::int64_t slackMs = 0;

    bool operator<(const WorkRank &other) const
    {
        return std::tie(this->band, this->priority, this->slackMs)
                < std::tie(other.band, other.priority, other.slackMs);
    }
};

/**
    Ranks waiting work when there is more of it than room: what can still earn fully goes first,
    then what can still earn as late work, last what is late for good; inside a band by the
    operators' priority, then by the time that is left.
*/
WorkRank rankOf(const WaitingJob &job);

/** Returns whether little of a job's objective is left beside its work. */
bool isUrgent(const WaitingJob &job);

} // namespace bulrush
