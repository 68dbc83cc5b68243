#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/** The system clock. Its monotonic time also advances while the machine is suspended. */
class SystemClock : public Clock
{
public:
    Instant now() const override;
    UnixSeconds calendarTime() const override;
    std::int64_t calendarMillis() const override;
};

} // namespace bulrush
