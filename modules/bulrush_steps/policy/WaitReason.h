#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bulrush {

/** Why no worker was found for a task whose turn has come. A later value means that more of what is
    required was met. */
enum class WaitReason : std::uint8_t {
    /** No worker that could run the task when empty takes starts. */
    NoWorker,
    /** The data centres of all workers that could run it are being evacuated. */
    Evacuated,
    /** Each of these workers lacks the room. */
    NoRoom,
    /** Those with the room receive no tasks at present, because of what happened to earlier ones.
     */
    Paused,
    /** Those that receive tasks have too few unused processors or too little memory for filling
        tasks, or a serving task above its tail latency target. */
    FillLimits,
    /** On those that are left, the filling task would slow serving tasks too much. */
    Risk,
    /** The step's turn to be planned did not come. */
    NotReached,
};

inline constexpr std::size_t waitReasonCount = 7;

/** Returns the name of a reason as it is logged. */
constexpr std::string_view text(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoWorker:
        return "no_worker";
    case WaitReason::Evacuated:
        return "evacuated";
    case WaitReason::NoRoom:
        return "no_room";
    case WaitReason::Paused:
        return "paused";
    case WaitReason::FillLimits:
        return "fill_limits";
    case WaitReason::Risk:
        return "risk";
    case WaitReason::NotReached:
        return "not_reached";
    }
    return "unknown";
}

} // namespace bulrush
