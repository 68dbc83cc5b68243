#pragma once

#include <cstdint>

namespace bulrush {

/** What a node's appends of callers' records amount to since its start. */
struct AppendCounts
{
    /** Appends to the store, and the records that they held. */
    std::uint64_t appends = 0;
    std::uint64_t records = 0;
    /** Records that were handed over to the owner. */
    std::uint64_t handedOver = 0;
    /** Records that this node took from others. */
    std::uint64_t relayed = 0;
    /** Refusals of records that cannot be recorded in time. */
    std::uint64_t refusedLate = 0;
    /** Refusals since the store did not answer, or this node stops. */
    std::uint64_t refusedAtEnd = 0;
};

} // namespace bulrush
