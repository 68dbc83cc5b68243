#pragma once

#include <cstddef>
#include <cstdint>

namespace bulrush {

/** The runs that are left in evacuated data centres. */
struct EvacuationLoad
{
    std::size_t runs = 0;
    /** Those of long-running tasks, which do not end by themselves. */
    std::size_t longRunning = 0;
    /** Tasks that were stopped there and have no run elsewhere yet. */
    std::size_t moving = 0;
    /** Tasks that were moved since the start of the process. */
    std::uint64_t moved = 0;
    /** Whether the next move waits for free capacity elsewhere. */
    bool waitsForCapacity = false;
};

} // namespace bulrush
