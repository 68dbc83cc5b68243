#include "bulrush_steps/policy/RunWatch.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A run whose percentage has not risen over reports this far apart stands still. */
constexpr milliseconds stallSpan { 900 };

/** The same for a task that lasts and is not at work. */
constexpr milliseconds lastingStallSpan { 2000 };

/** A run is looked at as slow when it has taken so many times as long as usual. */
constexpr double slowFactor = 2.5;

/** Short tasks take longer now and then. */
constexpr milliseconds slowAllowance { 500 };

/** Starting again must save at least this factor. */
constexpr double worthMovingFactor = 1.3;

constexpr double wholePercent = 100.0;

/** Failures in a row from which on a worker gets nothing new. */
constexpr std::uint32_t failuresToAvoid = 2;

constexpr milliseconds shortestAvoidance { 1000 };
constexpr milliseconds longestAvoidance { 8000 };

} // namespace

RunVerdict judgeRun(const Worker &worker, const Run &run, Instant now, milliseconds usual)
{
    const bool runs = run.phase == RunPhase::Running && !run.stopWanted && run.pacePercent > 0;
    if (!runs || !worker.confirmed) {
        return RunVerdict::Sound;
    }
    const milliseconds span = run.lasting ? lastingStallSpan : stallSpan;
    const bool unfinished = run.percent < wholePercent;
    if (unfinished && worker.reportedAt - run.progressedAt >= span) {
        return RunVerdict::Stalled;
    }
    if (run.lasting || run.fillCpuMilli > 0) {
        // How fast a filling task is depends on what others leave.
        return RunVerdict::Sound;
    }
    const std::chrono::duration<double> elapsed = now - run.confirmedAt;
    const std::chrono::duration<double> normal = usual;
    if (elapsed < normal * slowFactor + slowAllowance) {
        return RunVerdict::Sound;
    }
    const double done = std::max(1.0, static_cast<double>(run.percent));
    const std::chrono::duration<double> left = elapsed * (wholePercent - done) / done;
    return left > normal * worthMovingFactor ? RunVerdict::Slow : RunVerdict::Sound;
}

milliseconds noteEnd(Worker &worker, bool failed)
{
    constexpr double newestWeight = 0.15;
    worker.failureShare += newestWeight * ((failed ? 1.0 : 0.0) - worker.failureShare);
    worker.failuresInARow = failed ? worker.failuresInARow + 1 : 0;
    if (worker.failuresInARow < failuresToAvoid) {
        return milliseconds(0);
    }
    const auto doublings = std::min<std::uint32_t>(3, worker.failuresInARow - failuresToAvoid);
    return std::min(longestAvoidance, shortestAvoidance * (1 << doublings));
}

} // namespace bulrush
