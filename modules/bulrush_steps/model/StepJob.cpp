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
    constexpr std::int64_t milliPerProcessor = 1000;
    std::int64_t sum = 0;
    for (const StepSpec &step : this->steps) {
        sum += step.taskCount * step.size.cpuMilli * step.estimate.count() / milliPerProcessor;
    }
    return sum * this->occurrences;
}

} // namespace bulrush
