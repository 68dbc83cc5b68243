#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/ladder/Ladder.h"

#include <optional>
#include <unordered_map>

namespace bulrush::interference {

/**
    Smooths the measured slowdowns of each worker's services with exponential moving averages.

    The maximum of several noisy measurements is almost always too high; the maximum of their
    averages is not. Measurements from before the last action on the worker are ignored.
*/
class PressureFilter
{
public:
    /** Records a measurement; ignores one that is not finite, precedes the last reset, or is not
        newer than the newest one of the service. */
    void observe(const VmId &worker, const ServiceId &service, double slowdown, Instant measuredAt);

    /** Returns the service with the largest average slowdown on a worker, or nothing if none was
        measured. */
    std::optional<WorkerPressure> largestPressure(const VmId &worker) const;

    /** Discards the averages after an action; ignores measurements from before it from then on. */
    void reset(const VmId &worker, Instant actionAt);

    /** Removes the state of a worker that no longer exists. */
    void removeWorker(const VmId &worker) { this->workers.erase(worker); }

private:
    struct Mean
    {
        double slowdown = 1;
        Instant lastMeasuredAt {};
    };

    struct WorkerState
    {
        Instant startedAt {};
        std::unordered_map<ServiceId, Mean> services;
    };

    std::unordered_map<VmId, WorkerState> workers;
};

} // namespace bulrush::interference
