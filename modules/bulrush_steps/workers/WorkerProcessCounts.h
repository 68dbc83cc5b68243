#pragma once

#include <cstdint>

namespace bulrush {

/** Numbers of events that concern the processes of workers, since the start of this node's process.
    @see CommandTokens */
struct WorkerProcessCounts
{
    /** A worker's process was found to be another one than before. */
    std::uint64_t restarted = 0;
    /** A worker that was known had to be asked which process takes its commands. */
    std::uint64_t doubted = 0;
    /** A process answered a start or stop that was made for another one. */
    std::uint64_t tookOthersCommand = 0;
    /** A worker refused a start or stop because it had seen a newer token of this owner. */
    std::uint64_t refusedOlderToken = 0;

    /** Returns what was counted since an earlier state of these counts. */
    WorkerProcessCounts since(const WorkerProcessCounts &before) const
    {
        return { this->restarted - before.restarted, this->doubted - before.doubted,
                 this->tookOthersCommand - before.tookOthersCommand,
                 this->refusedOlderToken - before.refusedOlderToken };
    }
};

} // namespace bulrush
