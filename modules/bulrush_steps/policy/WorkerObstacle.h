#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/** What keeps a task off one worker. The order is that of WaitReason. */
enum class WorkerObstacle : std::uint8_t {
    /** It could not run the task when empty, or is out of service. */
    NoWorker,
    /** Its data centre is being evacuated. */
    Evacuated,
    /** It lacks the room. */
    NoRoom,
    /** It receives no tasks at present, because of what happened to earlier ones. */
    Paused,
    /** A serving task there was above its tail latency target a short time ago. */
    FillBlocked,
    /** A filling task would leave too little memory to others. */
    FillMemory,
    /** Too few of its processors are unused for a filling task. */
    FillCpu,
    /** A filling task would slow its serving tasks too much. */
    Risk,
    /** Nothing: the task could start there. */
    None,
};

inline constexpr std::size_t workerObstacleCount = 9;

/** Returns the name of an obstacle as it is logged. */
constexpr std::string_view text(WorkerObstacle obstacle)
{
    constexpr std::array<std::string_view, workerObstacleCount> names {
        "no_worker",   "evacuated", "no_room", "paused", "fill_blocked",
        "fill_memory", "fill_cpu",  "risk",    "none",
    };
    return names[static_cast<std::size_t>(obstacle)];
}

/** How many workers each obstacle keeps a task off. */
struct WorkerObstacles
{
    struct Count
    {
        std::uint32_t workers = 0;
        /** Those of them without a task that has a tail latency target. */
        std::uint32_t withoutServing = 0;
    };

    const Count &of(WorkerObstacle obstacle) const
    {
        return this->counts[static_cast<std::size_t>(obstacle)];
    }

    void add(WorkerObstacle obstacle, bool serves)
    {
        Count &count = this->counts[static_cast<std::size_t>(obstacle)];
        ++count.workers;
        count.withoutServing += serves ? 0 : 1;
    }

    std::array<Count, workerObstacleCount> counts {};
};

} // namespace bulrush
