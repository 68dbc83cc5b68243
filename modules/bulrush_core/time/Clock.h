#pragma once

#include <chrono>
#include <cstdint>

namespace bulrush {

/** A span of time in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** A reading of the monotonic clock; comparable only within one process. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Whole seconds since 1970-01-01 UTC; may step. */
using UnixSeconds = std::int64_t;

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/**
    The runtime's clock. Every part that needs the time takes it from here, so that tests can
    pause and advance it.

    @see SystemClock, PausableClock
*/
class Clock
{
public:
    Clock() = default;
    virtual ~Clock() = default;

    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;

    /** Returns the monotonic time. It never goes back. */
    virtual Instant now() const = 0;

    /** Returns the calendar time. It may step in either direction. */
    virtual UnixSeconds calendarTime() const = 0;

    /** Returns the calendar time in milliseconds since 1970; as exact as the clock is. */
    virtual std::int64_t calendarMillis() const { return this->calendarTime() * 1000; }
};

} // namespace bulrush
