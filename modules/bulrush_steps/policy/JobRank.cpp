#include "bulrush_steps/policy/JobRank.h"

namespace bulrush {

namespace {

/** Slack that ranks a long-running task behind the short tasks of its priority: a short wait costs
    it little. */
constexpr std::int64_t deferredSlackMs = 1'000'000'000;

/** A long-running task yields to short tasks for no longer than this, so that a constant supply of
    short tasks cannot starve it. */
constexpr milliseconds maxDeferral { 1500 };

/** A job is urgent when its slack is less than this share of its objective. */
constexpr double urgentSlackShare = 0.3;

enum Band : std::uint32_t { MeetsObjective, LateButUseful, TooLate };

} // namespace

JobRank rankOf(const WaitingJob &job)
{
    if (job.runsIndefinitely) {
        const bool deferrable = job.waited < maxDeferral;
        return { MeetsObjective, job.priority, deferrable ? deferredSlackMs : 0 };
    }
    const Duration end = job.age + job.remaining;
    const auto slack = duration_cast<milliseconds>(job.objective - end).count();
    if (end <= job.objective) {
        return { MeetsObjective, job.priority, slack };
    }
    const auto lateSlack =
            duration_cast<milliseconds>(job.objective * lateLimitFactor - end).count();
    if (lateSlack >= 0) {
        return { LateButUseful, job.priority, lateSlack };
    }
    return { TooLate, job.priority, -lateSlack };
}

bool isUrgent(const WaitingJob &job)
{
    const std::chrono::duration<double> slack = job.objective - job.remaining - job.age;
    return slack < urgentSlackShare * std::chrono::duration<double>(job.objective);
}

} // namespace bulrush
