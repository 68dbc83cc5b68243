#include "bulrush_core/time/ManualClock.h"

namespace bulrush {

Instant ManualClock::now() const
{
    return this->monotonic;
}

UnixSeconds ManualClock::calendarTime() const
{
    const auto elapsed = duration_cast<seconds>(this->monotonic.time_since_epoch());
    return (this->calendarOffset + elapsed).count();
}

void ManualClock::advance(Duration span)
{
    this->monotonic += span;
}

void ManualClock::stepCalendar(seconds step)
{
    this->calendarOffset += step;
}

} // namespace bulrush
