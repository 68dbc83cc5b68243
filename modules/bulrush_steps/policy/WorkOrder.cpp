#include "bulrush_steps/policy/WorkOrder.h"

namespace bulrush {

namespace {

/** Up to so many times its objective a job still earns something. */
constexpr int lateFactor = 3;

/** A task that lasts loses little by a moment's wait; short work of its priority goes before it. */
constexpr std::int64_t behindShortWorkMs = 1'000'000'000;

enum Band : std::uint32_t { canEarnFully, canEarnLate, tooLate };

} // namespace

WorkRank rankOf(const WaitingJob &job)
{
    if (job.lasting) {
        return { canEarnFully, job.priority, behindShortWorkMs };
    }
    const Duration end = job.age + job.remaining;
    const auto slack = duration_cast<milliseconds>(job.objective - end).count();
    if (end <= job.objective) {
        return { canEarnFully, job.priority, slack };
    }
    const auto lateSlack = duration_cast<milliseconds>(job.objective * lateFactor - end).count();
    if (lateSlack >= 0) {
        return { canEarnLate, job.priority, lateSlack };
    }
    return { tooLate, job.priority, -lateSlack };
}

} // namespace bulrush
