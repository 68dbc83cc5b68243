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
    /** @param epoch the epoch of the exchange that contained the start command */
    TaskRun(StartCommand command, std::uint64_t epoch, UnixMs now);

    /** Updates progress and state to this time: the run may have finished or its lease lapsed. */
    void advance(UnixMs now);

    /** Extends the lease of a running attempt. Returns false when it is not running. */
    bool renew(std::int64_t leaseMs, UnixMs now);

    /** Saves the progress of a running attempt as its checkpoint. */
    void saveCheckpoint();

    /** Limits the attempt to a share of its processors; batch work slows down accordingly. */
    void throttle(std::int64_t percent);

    /** Ends a running attempt. Work since its last checkpoint is lost. */
    void end(TaskState state, std::string result, UnixMs now);

    bool isRunning() const { return this->state == TaskState::Running; }
    const AttemptId &id() const { return this->command.id; }
    const Resources &resources() const { return this->command.resources; }
    InventoryEntry inventoryEntry(UnixMs now) const;
    RunRecord record() const;

private:
    std::optional<UnixMs> finishTime() const;
    void finish(UnixMs at);

    StartCommand command;
    std::uint64_t epoch = 0;
    TaskState state = TaskState::Running;
    std::string result;
    UnixMs startedMs = 0;
    UnixMs endedMs = 0;
    UnixMs leaseEndMs = 0;
    UnixMs progressUpdatedMs = 0;
    /** Hundredths of milliseconds of work done, so that throttled progress is exact. */
    std::int64_t progressHundredths = 0;
    std::int64_t percent = 100;
    std::int64_t checkpointMs = 0;
};

} // namespace bulrush::standins
