#pragma once

#include "bulrush_core/ids/Id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** One task of a job, or one replica of a service. */
struct TaskId
{
    JobId job;
    std::uint32_t index = 0;

    bool operator==(const TaskId &) const = default;
    bool operator<(const TaskId &other) const;

    /** Returns the text form "job#index", as workers see it. */
    std::string text() const;

    /** Returns the task with this text form, or nothing if the text is malformed. */
    static std::optional<TaskId> parse(std::string_view text);
};

/** One attempt to run a task; the attempts of a task are numbered from 1. */
struct AttemptId
{
    TaskId task;
    std::uint32_t attempt = 0;

    bool operator==(const AttemptId &) const = default;
    bool operator<(const AttemptId &other) const;
};

/** The capacity of a VM, or the declared need of a task. */
struct Resources
{
    std::int64_t cpuMilli = 0; ///< thousandths of a processor
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    /** Returns whether each amount is at most that of the capacity. */
    bool fitsIn(const Resources &capacity) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/** Describes why a need fits in none of the capacities; empty if it fits in one. Lists the amounts
    that exceed every capacity, such as "2 accelerators (largest worker: 0)". If there are none, the
    text states that no single capacity has all amounts together. */
std::string describeShortfall(const Resources &need, const std::vector<Resources> &capacities);

/** The kind of work that a task does. */
enum class TaskKind : std::uint8_t { Batch, Watcher, Service };

/** Returns the name that workers and records use: batch, watcher or service. */
std::string_view nameOf(TaskKind kind);

/** Returns the kind with this name, or Batch for an unknown name. */
TaskKind taskKind(std::string_view name);

/** A job, watcher or service as declared by its operator. */
struct JobSpec
{
    JobId job;
    TeamId team;
    TaskKind kind = TaskKind::Batch;
    std::uint32_t taskCount = 1;
    Resources need; ///< of each task
    std::int64_t runMs = 0;
    bool urgent = false;
};

/** How an attempt ended. */
enum class Outcome : std::uint8_t {
    Finished, ///< final: the result is recorded in the log
    Failed, ///< the task itself failed
    Evicted, ///< stopped by the owner; the next attempt resumes from the checkpoint
    NeverStarted, ///< the worker confirmed that the attempt does not run and will not start
    Lapsed, ///< the worker stopped it because its lease expired
    Lost, ///< the VM no longer exists, or its leases have expired
    Cancelled, ///< final: its job was cancelled
    Abandoned, ///< final: it failed on too many different workers
};

/** Returns an outcome's name for logs, such as "never started". */
std::string_view nameOf(Outcome outcome);

/** Returns whether the outcome is final: no further attempt may follow. */
bool isFinal(Outcome outcome);

} // namespace bulrush
