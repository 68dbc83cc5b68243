#pragma once

#include "bulrush_steps/policy/JobRank.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/policy/WaitReason.h"
#include "bulrush_steps/policy/WorkerObstacle.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/** Limits on the expected number of serving tasks that exceed their tail latency target on the
    worker of a filling task. The first applies while the filling task can wait, the second when it
    would otherwise be late. */
inline constexpr double maxRiskOfDeferrableFill = 0.25;
inline constexpr double maxRiskOfUrgentFill = 0.5;

/** Returns the limit that applies to the filling tasks of a job. */
inline double riskAllowedFor(const WaitingJob &job)
{
    return isUrgent(job) ? maxRiskOfUrgentFill : maxRiskOfDeferrableFill;
}

/** How far ahead the load of serving tasks is predicted, since a filling task keeps running on the
    worker. */
inline constexpr milliseconds riskHorizon { 1000 };

/** The requirements of one task on its worker. */
struct TaskRequest
{
    const StepSpec *step = nullptr;
    StepRef ref;
    ServiceId service;
    /** The number of tasks of the same step and occurrence on each worker that has any. */
    std::map<TargetId, std::uint32_t> siblings;
    /** Workers on which earlier attempts of the task failed. */
    std::vector<TargetId> failedOn;
    /** Whether the task must be started apart. @see CrashSuspects */
    bool apart = false;
    /** For a filling task: the maximum expected number of serving tasks on its worker that exceed
        their tail latency target. */
    double riskAllowed = 0.0;
    /** Whether the task's wait must come to an end. A filling task is then to start on the worker
        that suits it best, even if that is beyond the limits that protect serving tasks.
        @see isStarving */
    bool starving = false;
    /** For a step that prefers one rack: the rack of its running tasks; empty while none
        runs. */
    std::string rack;

    /** Returns whether it is for a long-running task that has waited too long. */
    bool isOverdue() const { return this->starving && this->step->runsIndefinitely; }
};

/**
    Chooses the worker of a task.

    Tasks that reserve processors are placed by best fit, on the fullest worker that can
    hold them.
    Filling tasks go to the worker with the most unused processors, and to no worker whose serving
    tasks are close to their tail latency target.
*/
class Placement
{
public:
    Placement(Instant now, const PressureModel &pressures)
        : now(now)
        , pressures(pressures)
    {
    }

    /** Returns the worker with the highest score, or null when none can accept the task now. */
    Worker *choose(std::map<TargetId, Worker> &workers, const TaskRequest &request) const;

    /** Returns the score of a worker for a task, where higher is better; none when the worker
        cannot accept it now. */
    std::optional<double> scoreOf(Worker &worker, const TaskRequest &request) const;

    /** Returns a score that the worker's score does not exceed; none when the worker certainly
        cannot accept the task now. It leaves out the impact on serving tasks, which takes longer to
        compute than all else. */
    std::optional<double> scoreBound(const Worker &worker, const TaskRequest &request) const;

    /** Returns the share of processor time that a filling task may use from its start on a worker,
       in percent: all that it demands if it keeps within its allowed risk, else very little. */
    std::uint32_t paceWithinRisk(Worker &worker, const TaskRequest &request) const;

    /** Returns why choose() finds no worker for the task: the reason of the worker that comes
       closest to accepting it. */
    WaitReason obstacle(const std::map<TargetId, Worker> &workers,
                        const TaskRequest &request) const;

    /** Counts the workers by what keeps the task off them; those of a starving
        task as if it were not. */
    WorkerObstacles obstacles(std::map<TargetId, Worker> &workers, TaskRequest request) const;

    /** Returns whether the worker could run the task if it were otherwise empty. */
    static bool isEligible(const Worker &worker, const TaskRequest &request);

    /** Returns whether the worker may run one more task of the step. */
    static bool hasSiblingCapacity(const Worker &worker, const TaskRequest &request);

private:
    static double shareOf(const Worker &worker, const StepSpec &step);
    FillImpact fillImpact(Worker &worker, const StepSpec &step) const;
    /** Returns the processors that no filling task requests yet, in thousandths. */
    static double unusedFillCpu(const Worker &worker);
    static bool hasCapacity(const Worker &worker, const TaskRequest &request);
    bool canAcceptNow(const Worker &worker, const TaskRequest &request) const;
    /** Returns whether starts of the task may be sent to the worker as far as earlier starts and
        crashes allow. */
    bool isUsable(const Worker &worker, const TaskRequest &request) const;
    /** Returns what keeps a task off a worker; Risk if nothing else does. */
    WorkerObstacle obstacleOn(const Worker &worker, const TaskRequest &request) const;
    bool hasFillCapacity(const Worker &worker, const StepSpec &step) const;

    /** Returns which limit keeps a filling task off a worker that has the room; None if none does.
     */
    WorkerObstacle fillLimit(const Worker &worker, const StepSpec &step) const;
    double commonScore(const Worker &worker, const TaskRequest &request) const;

    Instant now;
    const PressureModel &pressures;
    /** The coefficients of the filling image that was placed last, kept for its other tasks. */
    mutable std::string coefficientsImage;
    mutable std::vector<double> coefficients;
};

} // namespace bulrush
