#pragma once

#include "bulrush_steps/model/StepJob.h"

#include <map>
#include <string>

namespace bulrush {

/** Learns how long tasks really take against their declared estimates, by queue. */
class DurationBook
{
public:
    /** Takes the duration of a task that succeeded on a sound worker. */
    void learn(const std::string &queue, const StepSpec &step, Duration actual);

    /** Returns how long a task of a step is expected to take. */
    milliseconds expected(const std::string &queue, const StepSpec &step) const;

    /** Returns the expected length of a job's longest chain of steps. */
    milliseconds longestChain(const StepJob &job) const;

private:
    struct Ratio
    {
        double value = 1.0;
        std::uint32_t samples = 0;
    };

    std::map<std::string, Ratio> ratios;
};

} // namespace bulrush
