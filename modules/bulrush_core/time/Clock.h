#pragma once

#include <chrono>
#include <cstdint>

namespace bulrush {

/** A span of time in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** A reading of the monotonic clock; comparable only within one process. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Whole seconds since 1970-01-01 UTC; may step in either direction. */
using UnixSeconds = std::int64_t;

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/**
    The clock of the process. All code reads the time through this interface, so that tests can
    stop and advance it.

    @see SystemClock, ManualClock
*/
class Clock
{
public:
    Clock() = default;
    virtual ~Clock() = default;

    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;

    /** Returns the monotonic time, which never decreases. */
    virtual Instant now() const = 0;

    /** Returns the calendar time, which may step in either direction. */
    virtual UnixSeconds calendarTime() const = 0;

    /** Returns milliseconds since 1970-01-01 UTC, at the resolution of the clock. */
    virtual std::int64_t calendarMillis() const { return this->calendarTime() * 1000; }
};

} // namespace bulrush
