#include "bulrush_steps/model/TaskStates.h"

#include <algorithm>

namespace bulrush {

namespace {

StepTask makeSucceededTask()
{
    StepTask task;
    task.succeeded = true;
    return task;
}

} // namespace

const StepTask &TaskStates::unstartedTask()
{
    static const StepTask task;
    return task;
}

std::uint32_t TaskStates::open() const
{
    const auto running =
            std::count_if(this->states.begin(), this->states.end(), [](const auto &each) {
                return !each.second.succeeded && each.second.openRuns > 0;
            });
    return this->count - this->succeededCount - static_cast<std::uint32_t>(running);
}

const StepTask &TaskStates::at(std::uint32_t index) const
{
    static const StepTask succeededTask = makeSucceededTask();
    const auto found = this->states.find(index);
    if (found != this->states.end()) {
        return found->second;
    }
    return this->hasSucceeded(index) ? succeededTask : unstartedTask();
}

StepTask &TaskStates::change(std::uint32_t index)
{
    const auto [found, added] = this->states.try_emplace(index);
    if (added) {
        found->second.succeeded = this->hasSucceeded(index);
    }
    return found->second;
}

bool TaskStates::markSucceeded(std::uint32_t index)
{
    if (this->hasSucceeded(index)) {
        return false;
    }
    this->change(index).succeeded = true;
    ++this->succeededCount;
    if (this->allSucceeded()) {
        this->done = {};
        return true;
    }
    this->done.resize(this->count);
    this->done[index] = true;
    return true;
}

void TaskStates::release(std::uint32_t index)
{
    const auto found = this->states.find(index);
    if (found != this->states.end() && found->second.succeeded && found->second.openRuns == 0) {
        this->states.erase(found);
    }
}

void TaskStates::markAllSucceeded()
{
    this->states.clear();
    this->done = {};
    this->succeededCount = this->count;
}

} // namespace bulrush
