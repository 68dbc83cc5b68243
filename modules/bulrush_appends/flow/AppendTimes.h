#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <map>

namespace bulrush {

/** How an append ended. */
enum class AppendResult : std::uint8_t {
    Recorded,
    /** It had no effect and may be sent again. */
    NotDone,
    /** It had no effect, and the store rejects it however often it is sent. */
    Rejected,
    /** It had no effect, since the owner that it was handed over to cannot record it in time. */
    NotInTime,
    /** Whether it took effect is unknown. */
    Unknown,
};

/** Measures how long appends take, and decides whether the store counts as slow. */
class AppendTimes
{
public:
    using Number = std::uint64_t;

    /** An append that takes longer shows that the store is slow. */
    static constexpr milliseconds slowAnswer { 50 };

    /** Timeout of an append while answers are short. */
    static constexpr milliseconds shortestTimeout { 700 };

    /** Records that an append was sent. */
    void sent(Number append, Instant now) { this->open[append] = now; }

    /** Records how a sent append ended. */
    void answered(Number append, AppendResult result, Instant now);

    /** Records that a sent append ended without telling how long the store takes. */
    void ignore(Number append) { this->open.erase(append); }

    /** Records a sign other than an append of this node that the store is slow. */
    void noteSlow(Instant now);

    bool isSlow(Instant now) const;

    /** Returns how long an append is expected to take. */
    Duration expected(Instant now) const;

    /** Returns how long to wait for the answer to an append that is sent now.
        @param remaining the time until the last of its callers has to be answered */
    Duration timeout(Instant now, Duration remaining) const;

private:
    Duration oldestAge(Instant now) const;

    std::map<Number, Instant> open;
    Duration estimate {};
    /** Until when the store counts as slow without a further sign. */
    Instant slowUntil {};
    int quickAnswers = 0;
};

} // namespace bulrush
