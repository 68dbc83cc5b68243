#pragma once

#include "bulrush_placement/view/TaskView.h"
#include "bulrush_placement/view/WorkerView.h"

#include <optional>
#include <span>
#include <string>

namespace bulrush::placement {

/** The reason why a job can never run. */
struct Shortfall
{
    Resources missing; ///< amounts by which the closest worker or the team's quota is too small
    std::string text; ///< shown to the publisher of the job
};

/**
    Checks whether a job can ever run, and if not, reports the missing resources.

    Workers that are leaving or set aside are included, since an identical worker may replace them.
    @param quota the whole quota of the task's team, if it has one
    @returns nothing if the task fits on some worker when that worker is idle
*/
std::optional<Shortfall> checkFeasibility(const TaskView &task, std::span<const WorkerView> workers,
                                          const std::optional<Resources> &quota);

} // namespace bulrush::placement
