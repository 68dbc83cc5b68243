#pragma once

#include "bulrush_steps/model/StepJob.h"

#include <cstdint>

namespace bulrush {

/** The start of a run that is sent once the record of its task names the worker. */
struct AssignedStart
{
    AttemptRef attempt;
    TargetId worker;
    /** The number of the change that puts the assignment on record. */
    std::uint64_t change = 0;
};

} // namespace bulrush
