#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/ladder/Ladder.h"

#include <optional>
#include <unordered_map>

namespace bulrush::interference {

/**
    Smooths the measured slowdowns of each worker's services.

    The worst of several noisy measurements is nearly always too high; the worst of their running
    means is not. Measurements from before the last action on the worker are left out.
*/
class PressureFilter
{
public:
    /** Takes in one measurement; older ones than the newest are ignored. */
    void observe(const VmId &worker, const ServiceId &service, double slowdown, Instant measuredAt);

    /** Returns the service of a worker that suffers most, or nothing when none was measured. */
    std::optional<WorkerPressure> worst(const VmId &worker) const;

    /** Starts anew after an action; only later measurements count. */
    void restart(const VmId &worker, Instant actionAt);

    /** Drops a worker that is gone. */
    void forget(const VmId &worker) { this->workers.erase(worker); }

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
