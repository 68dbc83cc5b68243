#pragma once

#include "standins/common/ProcessClock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <tuple>
#include <vector>

namespace bulrush::standins {

/** Processors, memory and accelerators. */
struct Resources
{
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    /** Returns true when no value exceeds that of the other resources. */
    bool fitsIn(const Resources &other) const;
    /** Adds the other resources to these. */
    void add(const Resources &other);
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpuMilli, memoryMb, accelerators)

/** Identifies one attempt to run a task. */
struct AttemptId
{
    std::string task;
    std::uint64_t attempt = 0;

    bool operator==(const AttemptId &other) const
    {
        return this->task == other.task && this->attempt == other.attempt;
    }
    bool operator<(const AttemptId &other) const
    {
        return std::tie(this->task, this->attempt) < std::tie(other.task, other.attempt);
    }
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptId, task, attempt)

/** Kind of a task: only batch tasks finish by themselves, after their run time. */
enum class TaskKind {
    Batch,
    Watcher,
    Service,
};

/** State of an attempt. */
enum class TaskState {
    Running,
    Finished,
    Stopped,
    Failed,
    Lapsed,
};

/** Starts an attempt. */
struct StartCommand
{
    AttemptId id;
    TaskKind kind = TaskKind::Batch;
    Resources resources;
    std::int64_t leaseMs = 0;
    /** For batch tasks: the run time from the beginning of the task. */
    std::int64_t runMs = 0;
    /** Milliseconds of work done by earlier attempts, as text, since it is opaque to schedulers. */
    std::string checkpoint;

    /** Returns the checkpoint in milliseconds; 0 when it is empty. */
    std::int64_t resumeMs() const;
};

/** Extends a lease to `leaseMs` from now. */
struct RenewCommand
{
    AttemptId id;
    std::int64_t leaseMs = 0;
};

/** Limits an attempt to a share of its processors. */
struct ThrottleCommand
{
    AttemptId id;
    std::int64_t percent = 100;
};

/** The fencing token of an exchange; an exchange is rejected unless its token is the greatest. */
struct FencingToken
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    bool operator<(const FencingToken &other) const
    {
        return std::tie(this->epoch, this->sequence) < std::tie(other.epoch, other.sequence);
    }
};

/** A request of a scheduler to a worker. */
struct ExchangeRequest
{
    std::string node;
    std::string group;
    FencingToken token;
    /** The worker process that is addressed; empty when the scheduler does not know it yet. */
    std::string incarnation;
    /** In the worker's clock: after this time, nothing is renewed or started. */
    std::int64_t validUntilMs = std::numeric_limits<std::int64_t>::max();
    std::vector<RenewCommand> renew;
    std::vector<StartCommand> start;
    std::vector<AttemptId> stop;
    std::vector<AttemptId> checkpoint;
    std::vector<ThrottleCommand> throttle;
    std::vector<AttemptId> forget;
};

/** One attempt that the worker has not been told to forget. */
struct InventoryEntry
{
    AttemptId id;
    std::uint64_t epoch = 0;
    TaskState state = TaskState::Running;
    Resources resources;
    std::int64_t usageCpuMilli = 0;
    std::int64_t usageMemoryMb = 0;
    std::int64_t usageAgeMs = 0;
    std::string checkpoint;
    std::string result;
};

/** A worker's answer to an exchange. */
struct ExchangeAnswer
{
    bool accepted = false;
    /** The greatest token seen. */
    FencingToken token;
    /** Unique for each start of the worker process. */
    std::string incarnation;
    std::int64_t clockMs = 0;
    std::vector<InventoryEntry> inventory;
};

/** A start that a worker applied, as reported to tests. */
struct RunRecord
{
    AttemptId id;
    UnixMs startedMs = 0;
    /** 0 while the attempt is running. */
    UnixMs endedMs = 0;
    TaskState state = TaskState::Running;
};

NLOHMANN_JSON_SERIALIZE_ENUM(TaskKind,
                             { { TaskKind::Batch, "batch" },
                               { TaskKind::Watcher, "watcher" },
                               { TaskKind::Service, "service" } })
NLOHMANN_JSON_SERIALIZE_ENUM(TaskState,
                             { { TaskState::Running, "running" },
                               { TaskState::Finished, "finished" },
                               { TaskState::Stopped, "stopped" },
                               { TaskState::Failed, "failed" },
                               { TaskState::Lapsed, "lapsed" } })

/** @throws nlohmann::json::exception or std::logic_error when the command is malformed */
StartCommand startCommandFrom(const nlohmann::json &json);

/** Reads the list of lease renewals. @throws nlohmann::json::exception */
std::vector<RenewCommand> renewCommandsFrom(const nlohmann::json &json);

/**
    Reads an exchange; lists of commands may be missing.

    @throws nlohmann::json::exception or std::logic_error when it is malformed
*/
ExchangeRequest exchangeRequestFrom(const nlohmann::json &json);

/** Returns the JSON form of an answer, without the fields that the server adds. */
nlohmann::json toJson(const ExchangeAnswer &answer);

nlohmann::json toJson(const RunRecord &run);

} // namespace bulrush::standins
