#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
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
    /** How much longer the worker stays slow after its start. */
    milliseconds coldLeft { 0 };
};

/** Why an entry is no longer in the platform's worker list. */
enum class RemovalCause : std::uint8_t {
    /** The entry was removed after silence, or the cause cannot be told. The worker may still run
        tasks. */
    Unknown,
    /** The worker removed the entry itself, sooner than silence could have. It may still run
        tasks. */
    Deregistered,
};

} // namespace bulrush
