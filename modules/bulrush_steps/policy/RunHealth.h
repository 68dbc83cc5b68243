#pragma once

#include "bulrush_steps/workers/Worker.h"

namespace bulrush {

/** The health of a run. */
enum class RunHealth : std::uint8_t {
    Healthy,
    /** The run makes no progress. */
    Stalled,
    /** The run would finish sooner if it were restarted on another worker. */
    Slow,
};

/**
    Finds runs that should be restarted on another worker, because their worker has stalled or
    become slow but still answers.

    @param usual the mean duration of the task's siblings, or else the expected duration
*/
RunHealth assessRun(const Worker &worker, const Run &run, Instant now, milliseconds usual);

/** Returns whether assessRun() may find a run other than healthy. It needs no duration, so it takes
    less time. */
bool mayBeUnhealthy(const Worker &worker, const Run &run, Instant now);

/** Updates a worker's failure statistics with the end of a run.
    @returns how long the worker is to receive no new tasks; zero while it is considered healthy */
milliseconds recordRunEnd(Worker &worker, bool failed);

} // namespace bulrush
