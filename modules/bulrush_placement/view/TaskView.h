#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_interference/estimates/BatchClassId.h"
#include "bulrush_placement/view/Resources.h"

#include <cstdint>

namespace bulrush::placement {

/** The kind of a task; batch tasks yield to watchers, and both yield to services. */
enum class TaskKind : std::uint8_t { Batch, Watcher, Service };

/** Urgent tasks are scheduled ahead of ordinary tasks of all teams. */
enum class Urgency : std::uint8_t { Ordinary, Urgent };

/** The properties of a task that scheduling decisions use. */
struct TaskView
{
    JobId job;
    TaskKind kind = TaskKind::Batch;
    BatchClassId batchClass; ///< set for batch tasks and watchers
    ServiceId service; ///< set for replicas of a service
    Resources declared; ///< as requested by the publisher; the amount that is committed
    TeamId team;
    Urgency urgency = Urgency::Ordinary;
    DataCentreId dataCentre; ///< required data centre; empty for any
    bool mayWait = false; ///< may be deferred until a worker with less interference has room
    int maxPerWorker = 0; ///< maximum replicas of the service on one worker; 0 for no limit
};

} // namespace bulrush::placement
