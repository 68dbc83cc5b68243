#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/ownership/OwnershipKeeper.h"

#include <optional>
#include <string>

namespace bulrush {

/** What an entry VM on a platform with a store of its own is told at its start. */
struct EntrySettings
{
    NodeId node;
    DataCentreId dataCentre;
    /** Where callers connect. */
    Endpoint callers;
    /** Where the platform asks whether this node takes requests. */
    Endpoint readiness;
    /** Where other entry VMs connect. */
    Endpoint inner;
    /** Where operators read metrics, status and explanations. */
    Endpoint operators;
    /** The platform's store. */
    Endpoint store;
    /** The service that says which workers may run a step; none where there is none. */
    std::optional<Endpoint> advice;
    /** How long a stop may take before the process is killed. */
    milliseconds grace { 6000 };
    /** A machine counts as undisturbed once it has been so for this long. */
    milliseconds contact { 3000 };
    /** How soon an accepted job must be visible at every node. */
    milliseconds visible { 3000 };
    /** The shortest time to live that the store grants a member. */
    milliseconds leastTimeToLive { 1000 };
    std::size_t memoryMb = 0;
    /** The processor time that this machine has, in cores. */
    double processors = 1.0;
    DispatchSettings dispatch;

    /** Returns the durations of ownership that follow. */
    OwnershipTimes ownershipTimes() const;

    /** @throws Error naming the first inequality of docs/TIMES.md that does not hold */
    void check() const;
};

} // namespace bulrush
