#include "bulrush_core/time/SystemClock.h"

namespace bulrush {

Instant SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

UnixSeconds SystemClock::calendarTime() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return duration_cast<seconds>(sinceEpoch).count();
}

} // namespace bulrush
