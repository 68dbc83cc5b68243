#include "bulrush_steps/policy/JobRank.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Cost that ranks a long-running task behind the short tasks of its priority: a short wait costs
    it little. */
constexpr double deferredCost = 1000.0;

/** A job is urgent when its slack is less than this share of its objective. */
constexpr double urgentSlackShare = 0.3;

/** A late job with at most this share of its tasks unstarted ranks one band higher. */
constexpr double maxNearlyStartedShare = 0.15;

/** Shares of its objective at which a job is expected to end: up to the first it is assumed to
    meet the objective, since estimates are rough; its chance falls until the second. */
constexpr double safeEndShare = 0.7;
constexpr double latestEndShare = 1.0;

/** The assumed chance of a job that is expected to end just at its objective. */
constexpr double minChance = 0.5;

/** The smallest cost of a job that has tasks to start. */
constexpr double minCost = 0.001;

enum Band : std::uint32_t { Starving, MeetsObjective, LateButUseful, TooLate };

/** Returns the assumed chance that a job meets its objective, from minChance to 1. */
double chanceOf(const WaitingJob &job, Duration end)
{
    const double objective = std::chrono::duration<double>(job.objective).count();
    const double share = objective > 0.0 ? std::chrono::duration<double>(end).count() / objective
                                         : latestEndShare;
    const double risk = (share - safeEndShare) / (latestEndShare - safeEndShare);
    return 1.0 - (1.0 - minChance) * std::clamp(risk, 0.0, 1.0);
}

/** Returns the band of a late job: one higher when little of it is left to start. */
std::uint32_t lateBand(const WaitingJob &job, Band band)
{
    return job.unstartedShare <= maxNearlyStartedShare ? band - 1U : band;
}

} // namespace

JobRank rankOf(const WaitingJob &job)
{
    if (job.runsIndefinitely) {
        const bool deferrable = job.waited < maxDeferral;
        return { MeetsObjective, job.priority, deferrable ? deferredCost : minCost, 0 };
    }
    const Duration end = job.age + job.remaining;
    const double cost = std::max(minCost, job.unstartedShare / chanceOf(job, end));
    const auto slack = duration_cast<milliseconds>(job.objective - end).count();
    if (end <= job.objective) {
        return { MeetsObjective, job.priority, cost, slack };
    }
    const auto lateSlack =
            duration_cast<milliseconds>(job.objective * lateLimitFactor - end).count();
    if (lateSlack >= 0) {
        return { lateBand(job, LateButUseful), job.priority, cost, lateSlack };
    }
    return { lateBand(job, TooLate), job.priority, cost, -lateSlack };
}

bool isStarving(const WaitingJob &job)
{
    if (job.runsIndefinitely) {
        return job.waited >= maxDeferral;
    }
    const Duration latest = job.fills ? job.objective : job.objective * lateLimitFactor;
    return !job.hasRuns && job.age + job.remaining > latest;
}

JobRank starvingRank(const WaitingJob &job)
{
    const Duration wait = job.runsIndefinitely ? job.waited : job.age;
    return { Starving, 0, 0.0, -duration_cast<milliseconds>(wait).count() };
}

bool isUrgent(const WaitingJob &job)
{
    const std::chrono::duration<double> slack = job.objective - job.remaining - job.age;
    return slack < urgentSlackShare * std::chrono::duration<double>(job.objective);
}

} // namespace bulrush
