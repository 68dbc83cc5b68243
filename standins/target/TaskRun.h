#pragma once

#include "standins/target/WorkerMessages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrush::standins {

/** One attempt of a task on a worker: its lease, progress and end. */
class TaskRun
{
public:
    /** @param epoch the epoch of the exchange that ordered the start */
    TaskRun(StartOrder order, std::uint64_t epoch, UnixMs now);

    /** Brings the run up to date: it may have finished, or its lease lapsed, in the meantime. */
    void advance(UnixMs now);

    /** Prolongs the lease of a running attempt. Returns false when it does not run. */
    bool renew(std::int64_t leaseMs, UnixMs now);

    /** Saves the progress, as far as the attempt is running. */
    void takeCheckpoint();

    /** Limits a running attempt to a share of its processors; batch work slows down with it. */
    void throttle(std::int64_t percent);

    /** Ends a running attempt. Work since its last checkpoint is lost. */
    void end(TaskState state, std::string result, UnixMs now);

    bool isRunning() const { return this->state == TaskState::Running; }
    const AttemptId &id() const { return this->order.id; }
    const Resources &resources() const { return this->order.resources; }
    InventoryEntry inventoryEntry(UnixMs now) const;
    RunRecord record() const;

private:
    std::optional<UnixMs> finishTime() const;
    void finish(UnixMs at);

    StartOrder order;
    std::uint64_t epoch = 0;
    TaskState state = TaskState::Running;
    std::string result;
    UnixMs startedMs = 0;
    UnixMs endedMs = 0;
    UnixMs leaseEndMs = 0;
    UnixMs progressAtMs = 0;
    /** Hundredths of milliseconds of work done, so that throttled progress is kept whole. */
    std::int64_t progressHundredths = 0;
    std::int64_t percent = 100;
    std::int64_t savedMs = 0;
};

} // namespace bulrush::standins
