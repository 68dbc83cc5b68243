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

/** The rung on which a task stands. */
enum class MitigationLevel : std::uint8_t { Unrestricted, Throttled, Moving, Evicted };

/** What a step of the ladder asks of the worker. */
enum class LadderActionKind : std::uint8_t { Throttle, CheckpointAndMove, Evict, Restore };

/** One action on one task. */
struct LadderAction
{
    LadderActionKind kind;
    JobId job;
    VmId worker;
};

/** A task on a worker whose services suffer. */
struct LadderTask
{
    JobId job;
    BatchClassId batchClass;
    double share = 0; ///< fraction of the worker's processors that it uses
    bool isUrgent = false;
    bool isWatcher = false;
};

/** A measurement of the service that suffers most on a worker. */
struct WorkerPressure
{
    VmId worker;
    ServiceId service;
    double slowdown = 1; ///< 1 is undisturbed
    Instant measuredAt {};
};

/** Constants of the ladder; each slowdown is a ratio to an undisturbed worker. */
struct LadderSettings
{
    double stepUpSlowdown = 1.5; ///< above it the ladder steps up
    double stepDownSlowdown = 1.2; ///< below it the ladder steps down
    double evictionSlowdown = 2.5; ///< above it a task that cannot be moved is evicted
    double minContribution = 0.08; ///< slowdown that a task must cause to be stepped up
    Duration measurementLag = seconds(30);
    Duration hysteresis = seconds(60); ///< least time between steps; longer than the lag
    int moveBurst = 8;
    Duration moveInterval = seconds(10);
    int evictionBurst = 2;
    Duration evictionInterval = minutes(1);

    /** Returns whether the inequalities between these values hold. */
    bool isValid() const;

    /** Returns settings that follow the weights of the three measures. */
    static LadderSettings from(const PolicyWeights &weights);
};

/**
    Decides how to relieve services that suffer: throttle the task that does most harm, then
    checkpoint and move it, then evict it; and steps back when the worker has been calm.

    Only measurements taken after the last action has shown its effect count, so that a lagging
    measurement never causes a second step for the same trouble.
*/
class Ladder
{
public:
    /** @throws Error when the settings are not valid */
    explicit Ladder(const LadderSettings &settings);

    /** Decides on one worker; returns at most one action. */
    std::vector<LadderAction> decide(const WorkerPressure &pressure,
                                     std::span<const LadderTask> tasks,
                                     const PairEstimates &estimates, Instant now);

    /** Returns the rung on which a task stands. */
    MitigationLevel level(const JobId &job) const;

    /** Drops a task that ended, was stopped, runs elsewhere or could not be moved. */
    void forget(const JobId &job);

    /** Drops what is remembered of a worker that is gone. */
    void forgetWorker(const VmId &worker);

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
