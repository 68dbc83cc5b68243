#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/** The clock of the machine. */
class SystemClock : public Clock
{
public:
    Instant now() const override;
    UnixSeconds calendarTime() const override;
};

} // namespace bulrush
