#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/policy/WaitReason.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bulrush {

/** A job of which a task waits for a worker. */
struct LongestWait
{
    JobId job;
    /** Time since its acceptance or due time; of a long-running job, since a task of it began to
        wait, or since its acceptance if that was under a former owner. */
    Duration age {};
    WaitReason reason = WaitReason::NotReached;
};

/** Counts the steps that wait for a worker, by the reason. */
class WaitCensus
{
public:
    /** Counts a step. @param age see LongestWait */
    void add(WaitReason reason, const JobId &job, Duration age)
    {
        ++this->counts[static_cast<std::size_t>(reason)];
        if (!this->longestWait || age > this->longestWait->age) {
            this->longestWait = LongestWait { job, age, reason };
        }
    }

    /** Adds the counts of another census. */
    void add(const WaitCensus &other)
    {
        for (std::size_t reason = 0; reason < waitReasonCount; ++reason) {
            this->counts[reason] += other.counts[reason];
        }
        if (other.longestWait
            && (!this->longestWait || other.longestWait->age > this->longestWait->age)) {
            this->longestWait = other.longestWait;
        }
    }

    /** Returns the number of steps that wait for a reason. */
    std::uint32_t count(WaitReason reason) const
    {
        return this->counts[static_cast<std::size_t>(reason)];
    }

    /** Returns the job that has waited longest; none while no step waits. */
    const std::optional<LongestWait> &longest() const { return this->longestWait; }

private:
    std::array<std::uint32_t, waitReasonCount> counts {};
    std::optional<LongestWait> longestWait;
};

} // namespace bulrush
