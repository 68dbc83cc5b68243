#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace bulrush {

/** Milliseconds since 1970-01-01 UTC. */
using UnixMillis = std::int64_t;

/** What a task asks for, or a worker has. */
struct Room
{
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Room &) const = default;

    Room &operator+=(const Room &other)
    {
        this->cpuMilli += other.cpuMilli;
        this->memoryMb += other.memoryMb;
        this->accelerators += other.accelerators;
        return *this;
    }

    Room &operator-=(const Room &other)
    {
        this->cpuMilli -= other.cpuMilli;
        this->memoryMb -= other.memoryMb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    /** Returns whether this fits into what is free. */
    bool fitsInto(const Room &free) const
    {
        return this->cpuMilli <= free.cpuMilli && this->memoryMb <= free.memoryMb
                && this->accelerators <= free.accelerators;
    }
};

/** One step of a job: a number of like tasks. */
struct StepSpec
{
    std::uint32_t taskCount = 1;
    Room size;
    /** A rough estimate of one task's duration. */
    milliseconds estimate { 0 };
    /** Numbers of earlier steps, all of whose tasks must have succeeded first. */
    std::vector<std::uint32_t> dependsOn;
    /** Tasks save their progress and can resume from it. */
    bool checkpoints = false;
    /** Tasks work only together. */
    bool gang = false;
    /** Tasks are slower when they are spread over racks. */
    bool oneRack = false;
    /** A label that the worker must carry; empty for none. */
    std::string requiredLabel;
    /** The rack where the data is; empty for anywhere. */
    std::string dataRack;
    /** The greatest number of the step's tasks on one worker; 0 for any. */
    std::uint32_t mostPerWorker = 0;
    /** Copies of a task may run at once. */
    bool copiesAllowed = false;
    /** Tasks run until the job is cancelled and are restarted however they end. */
    bool lasting = false;
    /** What the tasks run; tasks of one image behave alike. */
    std::string image;
    /** The bound of the response times' tail of a lasting task; 0 for none. */
    milliseconds tailTarget { 0 };
    /** Tasks take processor time that others leave unused; their size's processors do not count. */
    bool fills = false;
    /** How many tasks of a lasting step may be away because of the scheduler's own actions. */
    std::uint32_t mayBeAway = 0;

    /** Returns what a task takes away from others: a filling task takes no processors. */
    Room reserved() const
    {
        Room room = this->size;
        room.cpuMilli = this->fills ? 0 : room.cpuMilli;
        return room;
    }

    bool operator==(const StepSpec &) const = default;
};

/** A job of steps, as it was accepted. */
struct StepJob
{
    JobId id;
    /** The queue that it came by. */
    std::string queue;
    ServiceId service;
    /** What the tasks are told; handed on as it came. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How many times the steps run; 1 for a job without times. */
    std::uint32_t occurrences = 1;
    /** Whether occurrences are due at times. */
    bool timed = false;
    UnixMillis firstDue = 0;
    milliseconds interval { 0 };
    UnixMillis acceptedAt = 0;
    /** Of the queue, at acceptance. */
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double slackFactor = 1.0;
    milliseconds latencyTarget { 0 };

    /** Returns whether any step lasts. */
    bool lasting() const;
};

/** Names one task of a job. */
struct TaskRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(this->job, this->occurrence, this->step, this->index)
                < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/** Names one attempt at a task. */
struct AttemptRef
{
    TaskRef task;
    std::uint64_t attempt = 0;

    bool operator==(const AttemptRef &) const = default;
    bool operator<(const AttemptRef &other) const
    {
        return std::tie(this->task, this->attempt) < std::tie(other.task, other.attempt);
    }
};

/** What callers are shown of a job. */
enum class JobState : std::uint8_t { Queued, Running, Succeeded, Failed, Cancelled };

} // namespace bulrush
