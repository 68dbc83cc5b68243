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

    /** Returns true when these fit within the others. */
    bool fitIn(const Resources &others) const;
    /** Adds others to these. */
    void add(const Resources &others);
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Resources, cpuMilli, memoryMb, accelerators)

/** Names one attempt to run a task. */
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

/** How a task ends. */
enum class TaskKind {
    Batch,
    Watcher,
    Service,
};

/** Where an attempt stands. */
enum class TaskState {
    Running,
    Finished,
    Stopped,
    Failed,
    Lapsed,
};

/** Orders a start. */
struct StartOrder
{
    AttemptId id;
    TaskKind kind = TaskKind::Batch;
    Resources resources;
    std::int64_t leaseMs = 0;
    /** For batch tasks: the run time from the very beginning. */
    std::int64_t runMs = 0;
    /** Milliseconds of work that earlier attempts have done; text, as schedulers keep it opaque. */
    std::string checkpoint;

    /** Returns the checkpoint's milliseconds; 0 for an empty one. */
    std::int64_t resumeMs() const;
};

/** Prolongs a lease: it ends `leaseMs` from now. */
struct RenewOrder
{
    AttemptId id;
    std::int64_t leaseMs = 0;
};

/** Limits an attempt to a share of its processors. */
struct ThrottleOrder
{
    AttemptId id;
    std::int64_t percent = 100;
};

/** The fencing token of an exchange: greater ones win. */
struct FencingToken
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    bool operator<(const FencingToken &other) const
    {
        return std::tie(this->epoch, this->sequence) < std::tie(other.epoch, other.sequence);
    }
};

/** What a scheduler asks of a worker. */
struct ExchangeRequest
{
    std::string node;
    std::string group;
    FencingToken token;
    /** The worker process that the scheduler means; empty where it knows none yet. */
    std::string incarnation;
    /** By the worker's clock: later, nothing is renewed or started. */
    std::int64_t validUntilMs = std::numeric_limits<std::int64_t>::max();
    std::vector<RenewOrder> renew;
    std::vector<StartOrder> start;
    std::vector<AttemptId> stop;
    std::vector<AttemptId> checkpoint;
    std::vector<ThrottleOrder> throttle;
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
    /** Distinct for each start of the worker's process. */
    std::string incarnation;
    std::int64_t clockMs = 0;
    std::vector<InventoryEntry> inventory;
};

/** One start that a worker ever applied, for the books of tests. */
struct RunRecord
{
    AttemptId id;
    UnixMs startedMs = 0;
    /** 0 while it runs. */
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

/** @throws nlohmann::json::exception or std::logic_error when the order is malformed */
StartOrder startOrderFrom(const nlohmann::json &json);

/** Reads a list of renewals. @throws nlohmann::json::exception */
std::vector<RenewOrder> renewOrdersFrom(const nlohmann::json &json);

/**
    Reads an exchange; lists of orders may be left out.

    @throws nlohmann::json::exception or std::logic_error when it is malformed
*/
ExchangeRequest exchangeRequestFrom(const nlohmann::json &json);

/** Returns an answer as the worker's interface has it, but for what is not of its books. */
nlohmann::json toJson(const ExchangeAnswer &answer);

nlohmann::json toJson(const RunRecord &run);

} // namespace bulrush::standins
