#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>

namespace bulrush {

/** The fencing token of an ownership, and when commands of previous owners stop taking effect. */
struct OwnershipTerm
{
    std::uint64_t fencingToken = 0;
    /** From this moment on, no command of a previous owner can take effect on any worker. */
    Instant previousOwnerSettledAt {};
    /** The same for a previous owner that put no roster on record. */
    Instant unreadyOwnerSettledAt {};
    /** How long after an owner's resignation its commands may still take effect. */
    milliseconds resignedOwnerSettleTime { 6000 };
    /** When this node became the owner. */
    Instant gainedAt {};
};

} // namespace bulrush
