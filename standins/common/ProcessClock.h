#pragma once

#include <chrono>
#include <cstdint>

namespace bulrush::standins {

/** Milliseconds since 1970-01-01 UTC. */
using UnixMs = std::int64_t;

/**
    Wall-clock time that never goes back within the process: the wall-clock time at construction
   plus the monotonic time since then. Readings of several processes on one machine are comparable.
*/
class ProcessClock
{
public:
    ProcessClock();

    /** Returns the current time. */
    UnixMs nowMs() const;

private:
    const UnixMs startedAtMs;
    const std::chrono::steady_clock::time_point startedAt;
};

} // namespace bulrush::standins
