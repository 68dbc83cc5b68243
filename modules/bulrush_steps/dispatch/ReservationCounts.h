#pragma once

#include <cstdint>

namespace bulrush {

/** Numbers of reservations of room, since the start of the process. Each reservation that was made
    is later counted as one of the others. @see StartReservations */
struct ReservationCounts
{
    std::uint64_t made = 0;
    /** A task of the step was started on the worker. */
    std::uint64_t used = 0;
    /** No task was started in time though one still waited. */
    std::uint64_t lapsed = 0;
    /** Its worker took no more starts, its step needed it no more, or the ownership ended. */
    std::uint64_t dropped = 0;

    /** Returns what was counted since an earlier state of these counts. */
    ReservationCounts since(const ReservationCounts &before) const
    {
        return { this->made - before.made, this->used - before.used, this->lapsed - before.lapsed,
                 this->dropped - before.dropped };
    }
};

} // namespace bulrush
