#include "bulrush_entry/front/DrainSchedule.h"

namespace bulrush {

namespace {

/** A stopping node is idle when no request has arrived for this long. */
constexpr milliseconds idlePeriod { 1200 };

/** Time within which the platform removes a node that is not ready from rotation. */
constexpr milliseconds rotationRemovalTime { 2500 };

/** Part of the grace period that is reserved for the exit of the process. */
constexpr milliseconds exitMargin { 500 };

/** How much longer a process stays for answers that are still being sent. */
constexpr milliseconds sendingTime { 200 };

/** How much longer it stays for requests that arrive while it closes. */
constexpr milliseconds closingTime { 200 };

/** How long before the end all open requests are answered. */
constexpr milliseconds answeringTime { 500 };

/** Time in which a request is answered unless the store or the owner is slow. One that arrives
    later than this before open requests are answered is refused. */
constexpr milliseconds servingTime { 200 };

} // namespace

DrainSchedule::DrainSchedule(Duration gracePeriod, Instant drainStartedAt)
    : startedAt(drainStartedAt)
    , stopAt(drainStartedAt + gracePeriod - exitMargin - sendingTime)
{
}

DrainStep DrainSchedule::stepAt(Instant now, const CallerActivity &activity) const
{
    const bool idle = now - activity.lastRequestAt > idlePeriod
            && now - this->startedAt > rotationRemovalTime;
    if (activity.openRequests == 0 && (idle || now >= this->stopAt)) {
        return DrainStep::Stop;
    }
    if (now >= this->stopAt + sendingTime) {
        return DrainStep::Stop;
    }
    const Instant answerAt = this->stopAt - answeringTime;
    if (now >= answerAt) {
        return DrainStep::AnswerOpen;
    }
    return now >= answerAt - servingTime ? DrainStep::RefuseNew : DrainStep::Serve;
}

Instant DrainSchedule::latestEnd() const
{
    return this->stopAt + sendingTime + closingTime;
}

} // namespace bulrush
