#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/estimates/PairEstimates.h"
#include "bulrush_interference/ladder/TokenBucket.h"
#include "bulrush_interference/weights/PolicyWeights.h"

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace bulrush::interference {

/** The mitigation that is in effect for a task. */
enum class MitigationLevel : std::uint8_t { Unrestricted, Throttled, Moving, Evicted };

/** The action that the worker has to perform. */
enum class LadderActionKind : std::uint8_t { Throttle, CheckpointAndMove, Evict, Restore };

/** An action on a task. */
struct LadderAction
{
    LadderActionKind kind;
    JobId job;
    VmId worker;
};

/** A task on a worker whose services are slowed down. */
struct LadderTask
{
    JobId job;
    BatchClassId batchClass;
    double share = 0; ///< fraction of the worker's processors that it uses
    bool isUrgent = false;
    bool isWatcher = false;
};

/** A measurement of the service with the largest slowdown on a worker. */
struct WorkerPressure
{
    VmId worker;
    ServiceId service;
    double slowdown = 1; ///< ratio to a worker without interference; 1 means none
    Instant measuredAt {};
};

/** Constants of the ladder; slowdowns are ratios to a worker without interference. */
struct LadderSettings
{
    double stepUpSlowdown = 1.5; ///< above it, the mitigation of a task is stepped up
    double stepDownSlowdown = 1.2; ///< below it, a throttled task is restored
    double evictionSlowdown = 2.5; ///< above it, a task that cannot be moved is evicted
    double minContribution = 0.08; ///< slowdown that a task must add to be mitigated
    Duration measurementLag = seconds(30);
    /** Minimum time between two actions on a worker, and minimum time of a low slowdown before a
        task is restored; must exceed measurementLag. */
    Duration hysteresis = seconds(60);
    int moveBurst = 8;
    Duration moveInterval = seconds(10);
    int evictionBurst = 2;
    Duration evictionInterval = minutes(1);

    /** Returns whether the thresholds are in order, no budget is negative and the hysteresis
        exceeds the measurement lag. */
    bool isValid() const;

    /** Returns the settings for the weights of the three measures. */
    static LadderSettings from(const PolicyWeights &weights);
};

/**
    Decides on the mitigation for services that batch tasks slow down: throttle the task that adds
    the most slowdown, then checkpoint and move it, then evict it. Restores throttled tasks when the
    slowdown has stayed low for the hysteresis time.

    After an action on a worker, waits for the hysteresis time and then uses only measurements taken
    after that action, so that a delayed measurement does not cause a second action for the same
    slowdown.
*/
class Ladder
{
public:
    /** @throws Error if the settings are not valid */
    explicit Ladder(const LadderSettings &settings);

    /** Returns the next action for a worker; at most one. */
    std::vector<LadderAction> decide(const WorkerPressure &pressure,
                                     std::span<const LadderTask> tasks,
                                     const PairEstimates &estimates, Instant now);

    /** Returns the mitigation that is in effect for a task. */
    MitigationLevel level(const JobId &job) const;

    /** Resets the mitigation of a task that ended, was stopped, runs on another worker now, or
        could not be moved. */
    void removeTask(const JobId &job);

    /** Removes the state of a worker that no longer exists. */
    void removeWorker(const VmId &worker);

private:
    struct WorkerState
    {
        Instant lastActionAt {};
        Instant belowStepDownSince {};
        bool hasActed = false;
        bool isBelowStepDown = false;
    };

    using StepCheck = bool (Ladder::*)(const WorkerPressure &, Instant);

    bool mayThrottle(const WorkerPressure &pressure, Instant now);
    bool mayMove(const WorkerPressure &pressure, Instant now);
    bool mayEvict(const WorkerPressure &pressure, Instant now);

    bool isSettled(const WorkerState &state, const WorkerPressure &pressure, Instant now) const;
    std::vector<LadderAction> stepUp(WorkerState &state, const WorkerPressure &pressure,
                                     std::span<const LadderTask> tasks,
                                     const PairEstimates &estimates, Instant now);
    std::vector<LadderAction> stepDown(WorkerState &state, const WorkerPressure &pressure,
                                       std::span<const LadderTask> tasks, Instant now);
    std::vector<LadderAction> stepUpTask(WorkerState &state, const WorkerPressure &pressure,
                                         const LadderTask &task, Instant now);

    LadderSettings settings;
    TokenBucket moveBudget;
    TokenBucket evictionBudget;
    std::unordered_map<VmId, WorkerState> workers;
    std::unordered_map<JobId, MitigationLevel> levels;
};

} // namespace bulrush::interference
