#include "bulrush_steps/model/OccurrenceTable.h"

namespace bulrush {

OccurrenceTable::OccurrenceTable(const StepJob &job)
    : count(job.occurrences)
{
    this->unstarted.steps.reserve(job.steps.size());
    for (const StepSpec &step : job.steps) {
        StepState state;
        state.tasks = TaskStates(step.taskCount);
        this->unstarted.steps.push_back(std::move(state));
    }
}

bool OccurrenceTable::hasEnded(std::uint32_t occurrence) const
{
    return occurrence < this->firstNotEnded || this->endedLater.contains(occurrence);
}

const OccurrenceState &OccurrenceTable::at(std::uint32_t occurrence) const
{
    const auto found = this->states.find(occurrence);
    if (found != this->states.end()) {
        return found->second;
    }
    return this->hasEnded(occurrence) ? this->ended : this->unstarted;
}

OccurrenceState &OccurrenceTable::change(std::uint32_t occurrence)
{
    return this->states.try_emplace(occurrence, this->at(occurrence)).first->second;
}

void OccurrenceTable::markEnded(std::uint32_t occurrence)
{
    if (this->ended.steps.empty()) {
        this->ended = this->unstarted;
        this->ended.succeededSteps = static_cast<std::uint32_t>(this->ended.steps.size());
        for (StepState &step : this->ended.steps) {
            step.tasks.markAllSucceeded();
        }
    }
    this->endedLater.insert(occurrence);
    while (this->endedLater.erase(this->firstNotEnded) > 0) {
        ++this->firstNotEnded;
    }
}

void OccurrenceTable::release(const TaskRef &task)
{
    const auto found = this->states.find(task.occurrence);
    if (found == this->states.end()) {
        return;
    }
    if (this->count > 1 && this->hasEnded(task.occurrence)) {
        this->states.erase(found);
        return;
    }
    found->second.steps.at(task.step).tasks.release(task.index);
}

void OccurrenceTable::releaseTasks()
{
    for (auto &[occurrence, state] : this->states) {
        for (StepState &step : state.steps) {
            step.tasks.releaseAll();
        }
    }
}

} // namespace bulrush
