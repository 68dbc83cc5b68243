#pragma once

#include "bulrush_core/time/Clock.h"

#include <algorithm>

namespace bulrush {

/** What the owner's decisions go by; from the settings of the installation. */
struct DispatchSettings
{
    /** The longest lease that a worker grants. */
    milliseconds longestLease { 6000 };
    /** How long a worker may take to stop a task. */
    milliseconds stopTime { 200 };
    /** How much longer tasks take away from their rack or data. */
    double awayFactor = 3.0;
    /** How much work passes between two checkpoints. */
    milliseconds checkpointInterval { 1000 };
    /** How long a task takes to resume from a checkpoint. */
    milliseconds resumeTime { 250 };
    /** How long a serving task may be over its bound because of tasks that fill. */
    milliseconds harmLimit { 4000 };
    /** How early a timed occurrence may start. */
    milliseconds earliestStart { 250 };
    /** From when on a change of pace takes effect. */
    milliseconds paceDelay { 100 };
    /** How long a worker may wait before it answers a hold that it has nothing to tell for. */
    milliseconds holdWait { 1000 };
    /** The same on a worker whose serving tasks run beside filling ones. */
    milliseconds holdWaitBesideFills { 400 };

    /** The lease that is asked for. */
    milliseconds lease() const { return this->longestLease * 2 / 3; }

    /** Shortens the waits so that a lease outlasts four of them. */
    void fitWaitsToLease()
    {
        this->holdWait = std::min(this->holdWait, this->lease() / 4);
        this->holdWaitBesideFills = std::min(this->holdWaitBesideFills, this->holdWait);
    }
};

} // namespace bulrush
