#include "bulrush_steps/model/StepJob.h"

#include <algorithm>

namespace bulrush {

bool StepJob::runsIndefinitely() const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [](const StepSpec &step) { return step.runsIndefinitely; });
}

std::size_t StepJob::tasksPerOccurrence() const
{
    std::size_t count = 0;
    for (const StepSpec &step : this->steps) {
        count += step.taskCount;
    }
    return count;
}

std::size_t StepJob::taskCount() const
{
    return this->tasksPerOccurrence() * this->occurrences;
}

std::size_t StepJob::positionOf(const TaskRef &task) const
{
    std::size_t position = this->tasksPerOccurrence() * task.occurrence + task.index;
    for (std::uint32_t step = 0; step < task.step; ++step) {
        position += this->steps[step].taskCount;
    }
    return position;
}

TaskRef StepJob::taskAt(std::size_t position) const
{
    const std::size_t perOccurrence = this->tasksPerOccurrence();
    TaskRef task { this->id, static_cast<std::uint32_t>(position / perOccurrence), 0, 0 };
    std::size_t rest = position % perOccurrence;
    while (rest >= this->steps[task.step].taskCount) {
        rest -= this->steps[task.step].taskCount;
        ++task.step;
    }
    task.index = static_cast<std::uint32_t>(rest);
    return task;
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
