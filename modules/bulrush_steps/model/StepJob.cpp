#include "bulrush_steps/model/StepJob.h"

#include <algorithm>

namespace bulrush {

bool StepJob::runsIndefinitely() const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [](const StepSpec &step) { return step.runsIndefinitely; });
}

std::size_t StepJob::taskCount() const
{
    std::size_t count = 0;
    for (const StepSpec &step : this->steps) {
        count += step.taskCount;
    }
    return count * this->occurrences;
}

std::int64_t StepJob::estimatedCoreMillis() const
{
    constexpr double milliPerProcessor = 1000.0;
    constexpr double max = 9e18;
    double sum = 0.0;
    for (const StepSpec &step : this->steps) {
        sum += static_cast<double>(step.taskCount) * static_cast<double>(step.size.cpuMilli)
                * static_cast<double>(step.estimate.count()) / milliPerProcessor;
    }
    return static_cast<std::int64_t>(std::min(sum * this->occurrences, max));
}

} // namespace bulrush
