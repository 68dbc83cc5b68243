#include "bulrush_appends/flow/AppendTimes.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Quick answers in a row after which the store counts as quick again. */
constexpr int quickAnswersNeeded = 3;

/** How many times the expected duration an append is waited for. */
constexpr int timeoutFactor = 4;

/** The timeout grows by this factor after an append without an answer. Answers that are lost must
    not lengthen it much, since the store is not slow then. */
constexpr double timeoutGrowth = 1.5;

/** After this time without a sign that it is slow, the store counts as quick. A node that has no
    records to append would count it as slow for ever otherwise. */
constexpr seconds slowPeriod { 3 };

} // namespace

void AppendTimes::answered(Number append, AppendResult result, Instant now)
{
    const auto found = this->open.find(append);
    if (found == this->open.end()) {
        return;
    }
    const Duration elapsed = now - found->second;
    this->open.erase(found);
    if (result == AppendResult::Unknown) {
        const auto grown = std::chrono::duration<double>(elapsed) * timeoutGrowth / timeoutFactor;
        this->estimate = std::max(this->estimate, duration_cast<Duration>(grown));
    } else if (result != AppendResult::NotDone) {
        this->estimate = (this->estimate + elapsed) / 2;
    }
    const bool failed = result == AppendResult::Unknown || result == AppendResult::NotDone;
    if (failed || elapsed > slowAnswer) {
        this->noteSlow(now);
        return;
    }
    ++this->quickAnswers;
    if (this->quickAnswers >= quickAnswersNeeded) {
        this->slowUntil = now;
    }
}

void AppendTimes::noteSlow(Instant now)
{
    this->slowUntil = now + slowPeriod;
    this->quickAnswers = 0;
}

Duration AppendTimes::oldestAge(Instant now) const
{
    Duration oldest {};
    for (const auto &[number, sentAt] : this->open) {
        oldest = std::max(oldest, now - sentAt);
    }
    return oldest;
}

bool AppendTimes::isSlow(Instant now) const
{
    return now < this->slowUntil || this->oldestAge(now) > slowAnswer;
}

Duration AppendTimes::expected(Instant now) const
{
    // The store's queue shrinks while an append waits in it, so the next one is expected to take
    // less time than the oldest has taken so far.
    return std::max(this->estimate, this->oldestAge(now) / 2);
}

Duration AppendTimes::timeout(Instant now, Duration remaining) const
{
    return std::max<Duration>(shortestTimeout,
                              std::min(timeoutFactor * this->expected(now), remaining));
}

} // namespace bulrush
