#pragma once

#include "bulrush_steps/model/StepJob.h"

#include <array>
#include <cstdint>
#include <vector>

namespace bulrush {

/** The start of a run that is sent once the record of its task names the worker. */
struct AssignedStart
{
    AttemptRef attempt;
    TargetId worker;
    /** Whether the task is a filling task. */
    bool fills = false;
    /** The number of the change that puts the assignment on record. */
    std::uint64_t change = 0;
};

/** The starts that wait for the records of their assignments, in the order in which they were
    planned. */
class AssignedStarts
{
public:
    void add(AssignedStart start);

    /** Removes and returns all of them. */
    std::vector<AssignedStart> takeAll();

    /** Returns how many of filling tasks, or of all others, there are. */
    std::uint32_t count(bool fills) const { return this->counts[fills ? 1 : 0]; }

    void clear() { this->takeAll(); }

private:
    std::vector<AssignedStart> starts;
    std::array<std::uint32_t, 2> counts {};
};

} // namespace bulrush
