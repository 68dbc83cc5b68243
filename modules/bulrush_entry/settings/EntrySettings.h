#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/ownership/OwnershipManager.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** The settings of an entry VM on a platform that provides its own store. */
struct EntrySettings
{
    NodeId node;
    DataCentreId dataCentre;
    /** The data centres of the installation; empty when they are not listed. */
    std::vector<DataCentreId> dataCentres;
    /** Endpoint that callers connect to. */
    Endpoint callers;
    /** Endpoint at which the platform checks whether this node accepts requests. */
    Endpoint readiness;
    /** Endpoint that other entry VMs connect to. */
    Endpoint peers;
    /** Endpoint at which operators read metrics, status and explanations of jobs. */
    Endpoint operators;
    /** Endpoint of the platform's store. */
    Endpoint store;
    LogLimits storeLimits;
    /** Endpoint of the service that decides which workers may run a step, if there is one. */
    std::optional<Endpoint> advice;
    /** Endpoint of the platform's list of VMs, if there is one. */
    std::optional<Endpoint> vmList;
    /** Time that a stop may take before the process is killed. */
    milliseconds gracePeriod { 6000 };
    /** Time without a disturbance after which a machine counts as undisturbed. */
    milliseconds undisturbedPeriod { 3000 };
    /** Time within which an accepted job must be visible on every node. */
    milliseconds visibilityLimit { 3000 };
    /** Minimum time to live that the store grants a member. */
    milliseconds minTimeToLive { 1000 };
    /** Interval at which workers write their entries; 0 when it is not known. */
    milliseconds workerHeartbeat { 0 };
    std::size_t memoryMb = 0;
    /** How many descriptors the process may have open; 0 when it is not known. */
    std::size_t maxDescriptors = 0;
    /** What the link of this machine carries; 0 when it is not known. */
    std::size_t linkBytesPerSecond = 0;
    /** The processor time that is available to this machine, in cores. */
    double processors = 1.0;

    /** Returns the same in thousandths of a core, as it stands in the node's name in the group. */
    std::uint32_t milliCores() const;

    DispatchSettings dispatch;

    /** Returns the durations of ownership that follow from these settings. */
    OwnershipTimings ownershipTimes() const;

    /** @throws Error naming the first inequality of docs/TIMES.md that does not hold */
    void check() const;
};

} // namespace bulrush
