#include "bulrush_steps/policy/WorkOrder.h"

namespace bulrush {

namespace {

/** Up to so many times its objective a job still earns something. */
constexpr int lateFactor = 3;

/** A task that lasts loses little by a moment's wait; short work of its priority goes before it. */
constexpr std::int64_t behindShortWorkMs = 1'000'000'000;

/** But it must not stay away for long because there is always short work. */
constexpr milliseconds longestLastingWait { 1500 };

/** A job is urgent when less than this share of its objective is left beside its work. */
constexpr double urgentSlackShare = 0.3;

enum Band : std::uint32_t { CanEarnFully, CanEarnLate, TooLate };

} // namespace

WorkRank rankOf(const WaitingJob &job)
{
    if (job.lasting) {
        const bool patient = job.waited < longestLastingWait;
        return { CanEarnFully, job.priority, patient ? behindShortWorkMs : 0 };
    }
    const Duration end = job.age + job.remaining;
    const auto slack = duration_cast<milliseconds>(job.objective - end).count();
    if (end <= job.objective) {
        return { CanEarnFully, job.priority, slack };
    }
    const auto lateSlack = duration_cast<milliseconds>(job.objective * lateFactor - end).count();
    if (lateSlack >= 0) {
        return { CanEarnLate, job.priority, lateSlack };
    }
    return { TooLate, job.priority, -lateSlack };
}

bool isUrgent(const WaitingJob &job)
{
    const std::chrono::duration<double> slack = job.objective - job.remaining - job.age;
    return slack < urgentSlackShare * std::chrono::duration<double>(job.objective);
}

} // namespace bulrush
