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

    /** Returns the task of a text form, or nothing where it is none. */
    static std::optional<TaskId> parse(std::string_view text);
};

/** One try to run a task; attempts of a task are counted from 1. */
struct AttemptId
{
    TaskId task;
    std::uint32_t attempt = 0;

    bool operator==(const AttemptId &) const = default;
    bool operator<(const AttemptId &other) const;
};

/** What a VM has, or what a task is declared to need. */
struct Resources
{
    std::int64_t cpuMilli = 0; ///< thousandths of a processor
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);

    /** Returns whether each amount is at most the other's. */
    bool fitsIn(const Resources &room) const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/** Returns what a need exceeds every capacity by, such as "2 accelerators (largest worker: 0)".
    Empty where some capacity holds it whole. */
std::string missingFor(const Resources &need, const std::vector<Resources> &capacities);

/** What kind of work a task is. */
enum class TaskKind : std::uint8_t { Batch, Watcher, Service };

/** Returns the name that workers and records use: batch, watcher or service. */
std::string_view nameOf(TaskKind kind);

/** Returns the kind of a name; Batch for an unknown one. */
TaskKind taskKind(std::string_view name);

/** A job, watcher or service as its operator declared it. */
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

/** Why an attempt is over. */
enum class Outcome : std::uint8_t {
    Finished, ///< final: the result is on record
    Failed, ///< the task itself failed
    Evicted, ///< stopped by the owner; the next attempt resumes from the checkpoint
    NeverStarted, ///< the worker confirmed that it does not and will not run
    Lapsed, ///< the worker stopped it because its lease ran out
    Lost, ///< the VM is gone, or its leases have run out
    Cancelled, ///< final: its job was cancelled
    Abandoned, ///< final: it failed on too many different workers
};

/** Returns an outcome's name for logs, such as "never started". */
std::string_view nameOf(Outcome outcome);

/** Returns whether no attempt may follow. */
bool isFinal(Outcome outcome);

} // namespace bulrush
