#pragma once

#include "bulrush_steps/model/StepJobTable.h"

#include <map>
#include <string>

namespace bulrush {

/**
    Estimates task durations from the declared estimates.

    Keeps a moving average of the ratio of actual to estimated duration for each queue.
*/
class DurationEstimator
{
public:
    /** Records the duration of a task that succeeded on a healthy worker. */
    void recordDuration(const std::string &queue, const StepSpec &step, Duration actual);

    /** Returns the expected duration of one task of a step. */
    milliseconds expectedDuration(const std::string &queue, const StepSpec &step) const;

    /** Returns the expected duration of a job's critical path, its longest chain of dependent
        steps. */
    milliseconds criticalPath(const StepJob &job) const;

    /** Returns the age up to which a finished job has its full value. */
    milliseconds objective(const StepJob &job) const;

    /** Returns the expected duration of the critical path through those steps of an occurrence that
        have not ended. */
    milliseconds remainingPath(const JobEntry &job, std::uint32_t occurrence) const;

private:
    milliseconds longestPath(const StepJob &job, const OccurrenceState *progress) const;

    /** The moving average of actual over estimated duration. */
    struct Ratio
    {
        double value = 1.0;
        std::uint32_t samples = 0;
    };

    std::map<std::string, Ratio> ratios;
};

} // namespace bulrush
