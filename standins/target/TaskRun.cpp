#include "standins/target/TaskRun.h"

#include <algorithm>
#include <utility>

namespace bulrush::standins {

namespace {

/** Usage is measured this often, so what is reported is up to this old. */
constexpr std::int64_t usagePeriodMs = 1000;
constexpr std::int64_t fullPercent = 100;

} // namespace

TaskRun::TaskRun(StartOrder startOrder, std::uint64_t startEpoch, UnixMs now)
    : order(std::move(startOrder))
    , epoch(startEpoch)
    , startedMs(now)
    , leaseEndMs(now + this->order.leaseMs)
    , progressAtMs(now)
    , progressHundredths(this->order.resumeMs() * fullPercent)
    , savedMs(this->order.resumeMs())
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
        this->progressHundredths += (now - this->progressAtMs) * this->percent;
        this->progressAtMs = now;
    }
}

std::optional<UnixMs> TaskRun::finishTime() const
{
    if (this->order.kind != TaskKind::Batch) {
        return std::nullopt;
    }
    const std::int64_t missing =
            std::max<std::int64_t>(0, this->order.runMs * fullPercent - this->progressHundredths);
    if (this->percent == 0 && missing > 0) {
        return std::nullopt;
    }
    return missing == 0 ? this->progressAtMs
                        : this->progressAtMs + (missing + this->percent - 1) / this->percent;
}

void TaskRun::finish(UnixMs at)
{
    this->savedMs = this->order.runMs;
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

void TaskRun::takeCheckpoint()
{
    if (this->isRunning()) {
        this->savedMs = this->progressHundredths / fullPercent;
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
    InventoryEntry entry { this->order.id,
                           this->epoch,
                           this->state,
                           this->order.resources,
                           0,
                           0,
                           0,
                           std::to_string(this->savedMs),
                           this->result };
    if (this->isRunning()) {
        entry.usageCpuMilli = this->order.resources.cpuMilli * this->percent / fullPercent;
        entry.usageMemoryMb = this->order.resources.memoryMb;
        entry.usageAgeMs = (now - this->startedMs) % usagePeriodMs;
    }
    return entry;
}

RunRecord TaskRun::record() const
{
    return { this->order.id, this->startedMs, this->endedMs, this->state };
}

} // namespace bulrush::standins
