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

constexpr std::array<std::string_view, 7> storeOutcomeNames {
    "done", "refused", "invalid", "fenced", "out_of_order", "trimmed", "unknown",
};
static_assert(storeOutcomeNames.size() == static_cast<std::size_t>(StoreOutcome::Unknown) + 1);

constexpr std::array<std::string_view, 4> streamNames {
    "jobs",
    "progress",
    "configuration",
    "workers",
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

std::string_view text(StoreOutcome outcome)
{
    return storeOutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view text(LogStream stream)
{
    return streamNames.at(static_cast<std::size_t>(stream));
}

} // namespace bulrush
