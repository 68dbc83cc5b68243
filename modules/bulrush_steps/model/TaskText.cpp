#include "bulrush_steps/model/TaskText.h"

#include <array>

namespace bulrush {

namespace {

constexpr std::array<std::string_view, 10> outcomeNames {
    "done",           "fenced",  "stale attempt", "too late", "no room",
    "ticket refused", "refused", "other worker",  "invalid",  "unknown",
};

constexpr std::array<std::string_view, 6> endNames {
    "succeeded", "failed", "stopped", "lease lapsed", "gang broken", "gang alone",
};

constexpr std::array<std::string_view, 5> stateNames {
    "queued", "running", "succeeded", "failed", "cancelled",
};

} // namespace

std::string text(const TaskRef &task)
{
    return task.job.name() + "/" + std::to_string(task.occurrence) + "/" + std::to_string(task.step)
            + "/" + std::to_string(task.index);
}

std::string_view text(CommandOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view text(EndKind kind)
{
    return endNames.at(static_cast<std::size_t>(kind));
}

std::string_view text(JobState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

} // namespace bulrush
