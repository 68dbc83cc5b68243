#include "bulrush_core/time/PausableClock.h"

namespace bulrush {

Instant PausableClock::now() const
{
    return this->monotonic;
}

UnixSeconds PausableClock::calendarTime() const
{
    const auto elapsed = duration_cast<seconds>(this->monotonic.time_since_epoch());
    return (this->calendarOffset + elapsed).count();
}

void PausableClock::advance(Duration span)
{
    this->monotonic += span;
}

void PausableClock::stepCalendar(seconds step)
{
    this->calendarOffset += step;
}

} // namespace bulrush
