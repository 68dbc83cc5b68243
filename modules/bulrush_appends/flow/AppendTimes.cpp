#include "bulrush_appends/flow/AppendTimes.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Quick answers in a row after which the store counts as quick again. */
constexpr int quickAnswersNeeded = 3;

/** How many times the expected duration an append is waited for. */
constexpr int timeoutFactor = 4;

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
        // The time until the append was abandoned is a lower bound of its duration.
        this->estimate = std::max(this->estimate, elapsed);
    } else if (result != AppendResult::NotDone) {
        this->estimate = (this->estimate + elapsed) / 2;
    }
    const bool failed = result == AppendResult::Unknown || result == AppendResult::NotDone;
    if (failed || elapsed > slowAnswer) {
        this->noteSlow();
        return;
    }
    ++this->quickAnswers;
    if (this->quickAnswers >= quickAnswersNeeded) {
        this->slow = false;
    }
}

void AppendTimes::noteSlow()
{
    this->slow = true;
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
    return this->slow || this->oldestAge(now) > slowAnswer;
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
