#include "bulrush_core/time/SystemClock.h"

#include <ctime>

namespace bulrush {

Instant SystemClock::now() const
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Instant(seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

UnixSeconds SystemClock::calendarTime() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<seconds>(sinceEpoch).count();
}

std::int64_t SystemClock::calendarMillis() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<milliseconds>(sinceEpoch).count();
}

} // namespace bulrush
