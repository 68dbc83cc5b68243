#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/** A clock whose time changes only when a test advances it. */
class ManualClock : public Clock
{
public:
    Instant now() const override;
    UnixSeconds calendarTime() const override;

    /** Advances the monotonic and the calendar time by a non-negative span. */
    void advance(Duration span);

    /** Steps only the calendar time; the step may be negative. */
    void stepCalendar(seconds step);

private:
    Instant monotonic { hours(1) };
    seconds calendarOffset { 1'700'000'000 };
};

} // namespace bulrush
