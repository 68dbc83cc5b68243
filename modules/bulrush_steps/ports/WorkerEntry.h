#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_steps/model/StepJob.h"

#include <string>
#include <vector>

namespace bulrush {

/** What a worker says of itself in the platform's list. */
struct WorkerEntry
{
    TargetId worker;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    /** It leaves soon and must get nothing new. */
    bool draining = false;
    Room capacity;
    std::vector<std::string> labels;
    UnixMillis bornAt = 0;
};

} // namespace bulrush
