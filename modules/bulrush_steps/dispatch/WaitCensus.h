#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/policy/WaitReason.h"
#include "bulrush_steps/policy/WorkerObstacle.h"

#include <array>
#include <cstdint>
#include <optional>

namespace bulrush {

/** A step of a job of which a task waits for a worker. */
struct LongestWait
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    /** Time since its acceptance or due time; of a long-running job, since a task of it began to
        wait, or since its acceptance if that was under a former owner. */
    Duration age {};
    WaitReason reason = WaitReason::NotReached;
    /** What each of its tasks reserves. */
    ResourceVector size;
    /** In what time a worker is expected to have room for one, when the census ended; none if none
        is. */
    std::optional<Duration> roomExpectedIn;
    /** Of the moment when the census ended: whether the wait had to come to an end (see
       isStarving), the number of its tasks that had a run, and whether any task of the job had one.
     */
    bool starving = false;
    std::uint32_t stepRuns = 0;
    bool jobRuns = false;
    /** What kept one of its tasks off each worker then, within the limits for filling tasks. */
    WorkerObstacles obstacles;
};

/** Counts the steps that wait for a worker, by the reason. */
class WaitCensus
{
public:
    /** Counts a step. @param age see LongestWait */
    void add(WaitReason reason, const StepRef &step, Duration age)
    {
        ++this->counts[static_cast<std::size_t>(reason)];
        if (!this->longestWait || age > this->longestWait->age) {
            LongestWait wait;
            wait.job = step.job;
            wait.occurrence = step.occurrence;
            wait.step = step.step;
            wait.age = age;
            wait.reason = reason;
            this->longestWait = wait;
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

    /** Sets what is known of the job that has waited longest. */
    void describeLongest(const LongestWait &longest) { this->longestWait = longest; }

private:
    std::array<std::uint32_t, waitReasonCount> counts {};
    std::optional<LongestWait> longestWait;
};

} // namespace bulrush
