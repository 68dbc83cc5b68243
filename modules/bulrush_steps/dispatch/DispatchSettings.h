#pragma once

#include "bulrush_core/time/Clock.h"

#include <algorithm>

namespace bulrush {

/** Parameters of the dispatcher, read from the settings of the installation. */
struct DispatchSettings
{
    /** Maximum lease duration that a worker accepts. */
    milliseconds maxLease { 6000 };
    /** Maximum time that a worker takes to stop a task. */
    milliseconds maxStopDuration { 200 };
    /** Factor by which a task takes longer outside its preferred rack or the rack of its data. */
    double remoteSlowdown = 3.0;
    /** Amount of work between two checkpoints of a task. */
    milliseconds checkpointInterval { 1000 };
    /** Time that a task needs to resume from a checkpoint. */
    milliseconds resumeDuration { 250 };
    /** Maximum time that filling tasks may keep a serving task above its tail latency target. */
    milliseconds maxTailViolation { 4000 };
    /** How long before its due time a scheduled occurrence may start. */
    milliseconds maxEarlyStart { 250 };
    /** Delay until a pace change takes effect on the worker. */
    milliseconds paceDelay { 100 };
    /** Maximum time that a worker delays its answer to a hold request when it has nothing
        to report. */
    milliseconds holdWait { 1000 };
    /** Same as holdWait, for workers that run both serving and filling tasks. */
    milliseconds holdWaitBesideFills { 400 };

    /** The time after the confirmation of an evacuation request within which starts must end; 0
        when the installation has no evacuations. */
    milliseconds evacuationBound { 0 };
    /** By which factor starts on a cold worker may exceed the rate that it can take, and how many
        more starts it is given. */
    double coldStartFactor = 1.5;
    double coldStartBurst = 5.0;

    /** How many calls a second the platform's list of VMs accepts from all nodes together; 0 when
        it is not known. */
    double vmListCallsPerSecond = 0.0;

    bool hasEvacuations() const { return this->evacuationBound.count() > 0; }

    /** Returns the lease duration to request: two thirds of the maximum. */
    milliseconds lease() const { return this->maxLease * 2 / 3; }

    /** Limits the hold waits to a quarter of the requested lease, so that a lease lasts at least as
        long as four waits. */
    void fitWaitsToLease()
    {
        this->holdWait = std::min(this->holdWait, this->lease() / 4);
        this->holdWaitBesideFills = std::min(this->holdWaitBesideFills, this->holdWait);
    }
};

} // namespace bulrush
