#include "standins/target/TaskRun.h"

#include <algorithm>
#include <utility>

namespace bulrush::standins {

namespace {

/** Interval of usage measurements, and so the maximum age of a reported value. */
constexpr std::int64_t usagePeriodMs = 1000;
constexpr std::int64_t fullPercent = 100;

} // namespace

TaskRun::TaskRun(StartCommand startCommand, std::uint64_t startEpoch, UnixMs now)
    : command(std::move(startCommand))
    , epoch(startEpoch)
    , startedMs(now)
    , leaseEndMs(now + this->command.leaseMs)
    , progressUpdatedMs(now)
    , progressHundredths(this->command.resumeMs() * fullPercent)
    , checkpointMs(this->command.resumeMs())
{
}

void TaskRun::advance(UnixMs now)
{
    if (!this->isRunning()) {
        return;
    }
    const std::optional<UnixMs> finishAt = this->finishTime();
    if (finishAt && *finishAt <= std::min(now, this->leaseEndMs)) {
        this->finish(*finishAt);
    } else if (this->leaseEndMs <= now) {
        this->end(TaskState::Lapsed, "lease lapsed", this->leaseEndMs);
    } else {
        this->progressHundredths += (now - this->progressUpdatedMs) * this->percent;
        this->progressUpdatedMs = now;
    }
}

std::optional<UnixMs> TaskRun::finishTime() const
{
    if (this->command.kind != TaskKind::Batch) {
        return std::nullopt;
    }
    const std::int64_t remaining =
            std::max<std::int64_t>(0, this->command.runMs * fullPercent - this->progressHundredths);
    if (this->percent == 0 && remaining > 0) {
        return std::nullopt;
    }
    return remaining == 0
            ? this->progressUpdatedMs
            : this->progressUpdatedMs + (remaining + this->percent - 1) / this->percent;
}

void TaskRun::finish(UnixMs at)
{
    this->checkpointMs = this->command.runMs;
    this->end(TaskState::Finished, "ok", at);
}

bool TaskRun::renew(std::int64_t leaseMs, UnixMs now)
{
    if (!this->isRunning()) {
        return false;
    }
    this->leaseEndMs = std::max(this->leaseEndMs, now + leaseMs);
    return true;
}

void TaskRun::saveCheckpoint()
{
    if (this->isRunning()) {
        this->checkpointMs = this->progressHundredths / fullPercent;
    }
}

void TaskRun::throttle(std::int64_t allowedPercent)
{
    this->percent = std::clamp<std::int64_t>(allowedPercent, 0, fullPercent);
}

void TaskRun::end(TaskState endState, std::string endResult, UnixMs now)
{
    if (this->isRunning()) {
        this->state = endState;
        this->result = std::move(endResult);
        this->endedMs = now;
    }
}

InventoryEntry TaskRun::inventoryEntry(UnixMs now) const
{
    InventoryEntry entry { this->command.id,
                           this->epoch,
                           this->state,
                           this->command.resources,
                           0,
                           0,
                           0,
                           std::to_string(this->checkpointMs),
                           this->result };
    if (this->isRunning()) {
        entry.usageCpuMilli = this->command.resources.cpuMilli * this->percent / fullPercent;
        entry.usageMemoryMb = this->command.resources.memoryMb;
        entry.usageAgeMs = (now - this->startedMs) % usagePeriodMs;
    }
    return entry;
}

RunRecord TaskRun::record() const
{
    return { this->command.id, this->startedMs, this->endedMs, this->state };
}

} // namespace bulrush::standins
