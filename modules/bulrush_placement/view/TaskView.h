#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_interference/estimates/BatchClassId.h"
#include "bulrush_placement/view/Resources.h"

#include <cstdint>

namespace bulrush::placement {

/** What a task is; decides who gives way to whom. */
enum class TaskKind : std::uint8_t { Batch, Watcher, Service };

/** Whether a task goes before those of other teams. */
enum class Urgency : std::uint8_t { Ordinary, Urgent };

/** What the decisions need to know of a task. */
struct TaskView
{
    JobId job;
    TaskKind kind = TaskKind::Batch;
    BatchClassId batchClass; ///< of batch tasks and watchers
    ServiceId service; ///< of replicas of a service
    Resources declared; ///< a claim; this is what gets committed
    TeamId team;
    Urgency urgency = Urgency::Ordinary;
    DataCentreId dataCentre; ///< where it must run; empty for anywhere
    bool mayWait = false; ///< for a worker where it does less harm
    int mostOnWorker = 0; ///< bound on replicas of the service on one worker; 0 for none
};

} // namespace bulrush::placement
