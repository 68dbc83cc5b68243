#pragma once

#include "bulrush_placement/view/WorkerTable.h"

#include <cstddef>
#include <optional>

namespace bulrush::placement {

/**
    Keeps a worker free for a large task that small ones would otherwise overtake for ever.

    Takes the worker that lacks least for the task.

    @param most how many workers may be reserved at once
    @returns the worker, which now takes no other task; nothing when the bound is reached or no
             worker is large enough
*/
std::optional<WorkerSlot> reserveWorker(const TaskView &task, WorkerTable &table,
                                        std::size_t maxReservations);

/** Frees the worker that is reserved for a task, such as one that was cancelled. */
void cancelReservation(const JobId &job, WorkerTable &table);

} // namespace bulrush::placement
