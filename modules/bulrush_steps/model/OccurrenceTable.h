#pragma once

#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/model/TaskStates.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrush {

struct StepState
{
    TaskStates tasks;
    /** Mean duration of the tasks that succeeded under this owner; 0 before the first. */
    milliseconds meanDuration { 0 };
    /** When the last task succeeded under this owner. */
    std::optional<Instant> endedAt;
    /** How long the step could have started before the last of its tasks was first started. */
    Duration startWait {};
};

struct OccurrenceState
{
    std::vector<StepState> steps;
    std::uint32_t succeededSteps = 0;
};

/**
    The states of a job's occurrences.

    Keeps the state of an occurrence from its first start. A schedule drops it when the occurrence
    has ended, so that its memory does not grow with its length.
*/
class OccurrenceTable
{
public:
    OccurrenceTable() = default;
    explicit OccurrenceTable(const StepJob &job);

    /** Returns the number of occurrences. */
    std::uint32_t size() const { return this->count; }

    /** Returns the first occurrence that has not ended; size() when all have. */
    std::uint32_t firstOpen() const { return this->firstNotEnded; }

    /** Returns whether all tasks of an occurrence have succeeded. */
    bool hasEnded(std::uint32_t occurrence) const;
    bool allEnded() const { return this->firstNotEnded == this->count; }

    /** Returns the state of an occurrence. The reference is valid until the state changes. */
    const OccurrenceState &at(std::uint32_t occurrence) const;

    /** Returns the state of an occurrence to change. The reference is valid until release(). */
    OccurrenceState &change(std::uint32_t occurrence);

    /** Notes that all tasks of an occurrence have succeeded. */
    void markEnded(std::uint32_t occurrence);

    /** Drops the state of a task that has succeeded and has no run, and that of its occurrence if
        it is one of a schedule and has ended. */
    void release(const TaskRef &task);

    /** Drops the states of all tasks but for whether they have succeeded. */
    void releaseTasks();

    /** Returns the states that are kept, by occurrence. */
    const std::map<std::uint32_t, OccurrenceState> &kept() const { return this->states; }

private:
    std::uint32_t count = 0;
    std::map<std::uint32_t, OccurrenceState> states;
    /** The state of an occurrence that has not begun, and of one that has ended. */
    OccurrenceState unstarted;
    OccurrenceState ended;
    std::uint32_t firstNotEnded = 0;
    /** Later occurrences that have ended. */
    std::set<std::uint32_t> endedLater;
};

} // namespace bulrush
