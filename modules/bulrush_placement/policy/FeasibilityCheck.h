#pragma once

#include "bulrush_placement/view/TaskView.h"
#include "bulrush_placement/view/WorkerView.h"

#include <optional>
#include <span>
#include <string>

namespace bulrush::placement {

/** Why a job can never run. */
struct Shortfall
{
    Resources missing; ///< by how much the nearest worker, or the team's quota, is too small
    std::string text; ///< for the one who published the job
};

/**
    Tells at once that a job can never run, and exactly what is missing.

    Workers that are leaving or set aside count as able: their place may be taken by one alike.
    @param quota the whole quota of the task's team, if it has one
    @returns nothing when some worker, empty, could hold the task
*/
std::optional<Shortfall> checkFeasibility(const TaskView &task, std::span<const WorkerView> workers,
                                          const std::optional<Resources> &quota);

} // namespace bulrush::placement
