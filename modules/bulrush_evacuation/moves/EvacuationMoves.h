#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bulrush {

/** A long-running run in an evacuated data centre. */
struct EvacuatedRun
{
    /** The number by which the caller identifies the run. */
    std::size_t run = 0;
    /** The number by which the caller identifies the run's step. */
    std::size_t step = 0;
    bool memberOfGang = false;
    /** How many tasks of the step may be without a run at a time; 0 if the step sets no limit,
        in which case one is moved at a time. */
    std::uint32_t maxUnavailable = 0;
    /** How many tasks of the step have no run, or one that is being stopped. */
    std::uint32_t unavailable = 0;
    /** Since when the task has had its room. */
    Instant placedAt {};
};

/** The state of an evacuation at one moment. */
struct EvacuationState
{
    /** The number of all workers. */
    std::size_t workers = 0;
    /** Tasks that were moved and have no run elsewhere yet. */
    std::size_t moving = 0;
    /** Whether a task that ends finds no worker at present. It has precedence over moves. */
    bool endingTasksWait = false;
};

/** Decides which long-running runs leave an evacuated data centre next. */
class EvacuationMoves
{
public:
    /** Returns how many tasks may be on the move at a time. */
    static std::size_t maxMoving(std::size_t workers);

    /** Returns the runs that may be moved now if there is room for them elsewhere, those first that
        have had their room longest. The caller must stop no more than the returned limit allows.
     */
    static std::vector<EvacuatedRun> candidates(const EvacuationState &state,
                                                std::vector<EvacuatedRun> runs);

    /** Returns how many more runs may be stopped now. */
    static std::size_t allowed(const EvacuationState &state);
};

} // namespace bulrush
