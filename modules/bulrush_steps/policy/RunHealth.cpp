#include "bulrush_steps/policy/RunHealth.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A run is stalled when its percentage has not risen over reports that span this time. */
constexpr milliseconds stallTimeout { 900 };

/** The same limit for a long-running task, which is below 100 percent while it is not working. */
constexpr milliseconds longRunningStallTimeout { 2000 };

/** A run may be slow when it has taken this many times its usual duration, plus slowAllowance. */
constexpr double slowFactor = 2.5;

/** Tolerates that short tasks occasionally take longer. */
constexpr milliseconds slowAllowance { 500 };

/** A run counts as slow only when its remaining time exceeds the usual duration by this factor. */
constexpr double minRestartGain = 1.3;

constexpr double completePercent = 100.0;

/** The number of consecutive failures from which a worker receives no new tasks for a time. */
constexpr std::uint32_t avoidanceThreshold = 2;

constexpr milliseconds minAvoidance { 1000 };
constexpr milliseconds maxAvoidance { 8000 };

} // namespace

namespace {

bool isStalled(const Worker &worker, const Run &run)
{
    const milliseconds atFullPace = run.runsIndefinitely ? longRunningStallTimeout : stallTimeout;
    const milliseconds span = atFullPace * 100 / std::max<std::uint32_t>(1, run.pacePercent);
    return run.progressPercent < completePercent && worker.reportedAt - run.progressedAt >= span;
}

/** The speed of a filling task depends on the processor time that other tasks leave unused. */
bool hasOwnSpeed(const Run &run)
{
    return !run.runsIndefinitely && run.fillCpuMilli == 0;
}

} // namespace

bool mayBeUnhealthy(const Worker &worker, const Run &run, Instant now)
{
    const bool isRunning = run.phase == RunPhase::Running && !run.mayHaveEnded && !run.stopRequested
            && run.pacePercent > 0;
    if (!isRunning || !worker.confirmed) {
        return false;
    }
    return isStalled(worker, run)
            || (hasOwnSpeed(run) && now - run.confirmedAt >= Duration(slowAllowance));
}

RunHealth assessRun(const Worker &worker, const Run &run, Instant now, milliseconds usual)
{
    if (!mayBeUnhealthy(worker, run, now)) {
        return RunHealth::Healthy;
    }
    if (isStalled(worker, run)) {
        return RunHealth::Stalled;
    }
    const std::chrono::duration<double> elapsed = now - run.confirmedAt;
    const std::chrono::duration<double> usualDuration = usual;
    if (elapsed < usualDuration * slowFactor + slowAllowance) {
        return RunHealth::Healthy;
    }
    const double done = std::max(1.0, static_cast<double>(run.progressPercent));
    const std::chrono::duration<double> remaining = elapsed * (completePercent - done) / done;
    return remaining > usualDuration * minRestartGain ? RunHealth::Slow : RunHealth::Healthy;
}

milliseconds recordRunEnd(Worker &worker, bool failed)
{
    constexpr double sampleWeight = 0.15;
    worker.failureShare += sampleWeight * ((failed ? 1.0 : 0.0) - worker.failureShare);
    worker.consecutiveFailures = failed ? worker.consecutiveFailures + 1 : 0;
    if (worker.consecutiveFailures < avoidanceThreshold) {
        return milliseconds(0);
    }
    const auto doublings =
            std::min<std::uint32_t>(3, worker.consecutiveFailures - avoidanceThreshold);
    return std::min(maxAvoidance, minAvoidance * (1 << doublings));
}

} // namespace bulrush
