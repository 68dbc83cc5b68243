#pragma once

#include "bulrush_placement/view/WorkerTable.h"

#include <cstddef>
#include <optional>

namespace bulrush::placement {

/**
    Reserves a worker for a large task, which smaller tasks would otherwise starve.

    Chooses the worker that lacks the smallest part of its capacity for the task. A worker that is
    already reserved for the task stays reserved.

    @param maxReservations how many workers may be reserved at once
    @returns the worker, which accepts no other task from now on; nothing if the limit is reached
             or no worker is large enough
*/
std::optional<WorkerSlot> reserveWorker(const TaskView &task, WorkerTable &table,
                                        std::size_t maxReservations);

/** Cancels the reservation for a task, for example when the task was cancelled. */
void cancelReservation(const JobId &job, WorkerTable &table);

} // namespace bulrush::placement
