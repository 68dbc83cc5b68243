#pragma once

#include "bulrush_steps/workers/Worker.h"

namespace bulrush {

/** What is thought of a run. */
enum class RunVerdict : std::uint8_t {
    Sound,
    /** It makes no progress. */
    Stalled,
    /** It would end sooner if it started again elsewhere. */
    Slow,
};

/**
    Finds runs that are better started again on another worker: on workers that stand still or have
    turned slow while they still answer.

    @param usual how long the task's siblings took, or is expected
*/
RunVerdict judgeRun(const Worker &worker, const Run &run, Instant now, milliseconds usual);

/** Takes the end of a run into a worker's record of failures.
    @returns how long the worker is to get nothing new; zero while it seems sound */
milliseconds noteEnd(Worker &worker, bool failed);

} // namespace bulrush
