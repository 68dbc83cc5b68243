#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_steps/model/StepJob.h"

#include <string>
#include <vector>

namespace bulrush {

/** The entry that a worker publishes about itself in the platform's worker list. */
struct WorkerEntry
{
    TargetId worker;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /** Whether the worker is shutting down and must not receive new tasks. */
    bool draining = false;
    ResourceVector capacity;
    std::vector<std::string> labels;
    UnixMillis processStartedAt = 0;
};

} // namespace bulrush
