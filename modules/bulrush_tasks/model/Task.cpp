#include "bulrush_tasks/model/Task.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

namespace bulrush {

namespace {

constexpr std::array<std::string_view, 3> kindNames { "batch", "watcher", "service" };

constexpr std::array<std::string_view, 8> outcomeNames { "finished",      "failed",   "evicted",
                                                         "never started", "lapsed",   "lost",
                                                         "cancelled",     "abandoned" };

struct ResourceField
{
    std::string_view name;
    std::int64_t Resources::*value;
};

constexpr std::array resourceFields {
    ResourceField { "cpuMilli", &Resources::cpuMilli },
    ResourceField { "memoryMb", &Resources::memoryMb },
    ResourceField { "accelerators", &Resources::accelerators },
};

} // namespace

bool TaskId::operator<(const TaskId &other) const
{
    return std::tie(this->job, this->index) < std::tie(other.job, other.index);
}

bool AttemptId::operator<(const AttemptId &other) const
{
    return std::tie(this->task, this->attempt) < std::tie(other.task, other.attempt);
}

std::string TaskId::text() const
{
    return this->job.name() + '#' + std::to_string(this->index);
}

std::optional<TaskId> TaskId::parse(std::string_view text)
{
    const std::size_t separator = text.rfind('#');
    if (separator == std::string_view::npos) {
        return std::nullopt;
    }
    TaskId task { JobId(text.substr(0, separator)), 0 };
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + separator + 1, end, task.index);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return task;
}

Resources &Resources::operator+=(const Resources &other)
{
    this->cpuMilli += other.cpuMilli;
    this->memoryMb += other.memoryMb;
    this->accelerators += other.accelerators;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    this->cpuMilli -= other.cpuMilli;
    this->memoryMb -= other.memoryMb;
    this->accelerators -= other.accelerators;
    return *this;
}

bool Resources::fitsIn(const Resources &capacity) const
{
    return this->cpuMilli <= capacity.cpuMilli && this->memoryMb <= capacity.memoryMb
            && this->accelerators <= capacity.accelerators;
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

std::string describeShortfall(const Resources &need, const std::vector<Resources> &capacities)
{
    const auto fits = [&need](const Resources &capacity) { return need.fitsIn(capacity); };
    if (std::any_of(capacities.begin(), capacities.end(), fits)) {
        return {};
    }
    std::string missing;
    for (const ResourceField &field : resourceFields) {
        std::int64_t largest = 0;
        for (const Resources &capacity : capacities) {
            largest = std::max(largest, capacity.*field.value);
        }
        if (need.*field.value > largest) {
            missing += (missing.empty() ? "" : ", ") + std::to_string(need.*field.value) + ' '
                    + std::string(field.name) + " (largest worker: " + std::to_string(largest)
                    + ')';
        }
    }
    return missing.empty() ? "no single worker has all amounts together" : missing;
}

std::string_view nameOf(TaskKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

TaskKind taskKind(std::string_view name)
{
    const auto *const found = std::find(kindNames.begin(), kindNames.end(), name);
    return found == kindNames.end() ? TaskKind::Batch
                                    : static_cast<TaskKind>(found - kindNames.begin());
}

std::string_view nameOf(Outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

bool isFinal(Outcome outcome)
{
    return outcome == Outcome::Finished || outcome == Outcome::Cancelled
            || outcome == Outcome::Abandoned;
}

} // namespace bulrush
