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

/** Amounts of resources: the demand of a task, or the capacity of a worker. */
struct ResourceVector
{
    /** Thousandths of a processor. */
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const ResourceVector &) const = default;

    ResourceVector &operator+=(const ResourceVector &other)
    {
        this->cpuMilli += other.cpuMilli;
        this->memoryMb += other.memoryMb;
        this->accelerators += other.accelerators;
        return *this;
    }

    ResourceVector &operator-=(const ResourceVector &other)
    {
        this->cpuMilli -= other.cpuMilli;
        this->memoryMb -= other.memoryMb;
        this->accelerators -= other.accelerators;
        return *this;
    }

    /** Returns whether this demand and another one are within the free resources. A resource that
       this one does not demand is left out, so that the other one may exceed it. */
    bool fitsBeside(const ResourceVector &other, const ResourceVector &free) const
    {
        const auto fits = [](std::int64_t mine, std::int64_t others, std::int64_t room) {
            return mine == 0 || mine + others <= room;
        };
        return fits(this->cpuMilli, other.cpuMilli, free.cpuMilli)
                && fits(this->memoryMb, other.memoryMb, free.memoryMb)
                && fits(this->accelerators, other.accelerators, free.accelerators);
    }

    /** Returns whether this demand is within the free resources. */
    bool fitsInto(const ResourceVector &free) const
    {
        return this->cpuMilli <= free.cpuMilli && this->memoryMb <= free.memoryMb
                && this->accelerators <= free.accelerators;
    }
};

/** One step of a job: a number of tasks with the same requirements. */
struct StepSpec
{
    std::uint32_t taskCount = 1;
    /** The resources that each task requires. */
    ResourceVector size;
    /** A rough estimate of one task's duration. */
    milliseconds estimate { 0 };
    /** Indices of earlier steps, all of whose tasks must succeed before this step starts. */
    std::vector<std::uint32_t> dependsOn;
    /** Whether tasks write checkpoints and can resume from them. */
    bool checkpoints = false;
    /** Whether the tasks can only run together (gang scheduling). */
    bool gang = false;
    /** Whether tasks are slower when they are spread over several racks. */
    bool prefersSingleRack = false;
    /** A label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** The rack that holds the data of the tasks; empty for no preference. */
    std::string dataRack;
    /** The maximum number of the step's tasks on one worker; 0 for no limit. */
    std::uint32_t maxPerWorker = 0;
    /** Whether several copies of a task may run at the same time (speculative execution). */
    bool allowsSpeculation = false;
    /** Whether tasks are long-running: they run until the job is cancelled and are restarted
        whether they succeed or fail. */
    bool runsIndefinitely = false;
    /** The image that the tasks run. Tasks of one image are assumed to behave alike. */
    std::string image;
    /** The tail latency target of a long-running task; 0 for none. A task that has one is a serving
        task. */
    milliseconds tailTarget { 0 };
    /** Whether tasks are filling (best-effort) tasks: they use processor time that other tasks
        leave unused and reserve no processors. */
    bool fills = false;
    /** The maximum number of tasks of a long-running step that may be unavailable at the same time
        because of the scheduler's own actions. */
    std::uint32_t maxConcurrentDisruptions = 0;

    /** Returns the resources that a task reserves; a filling task reserves no processors. */
    ResourceVector reserved() const
    {
        ResourceVector room = this->size;
        room.cpuMilli = this->fills ? 0 : room.cpuMilli;
        return room;
    }

    bool operator==(const StepSpec &) const = default;
};

/** Identifies one step of an occurrence of a job. */
struct StepRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    bool operator==(const StepRef &) const = default;
    bool operator<(const StepRef &other) const
    {
        return std::tie(this->job, this->occurrence, this->step)
                < std::tie(other.job, other.occurrence, other.step);
    }
};

/** Identifies one task of a job. */
struct TaskRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    /** Returns the step that the task belongs to. */
    StepRef stepRef() const { return { this->job, this->occurrence, this->step }; }

    bool operator==(const TaskRef &) const = default;
    bool operator<(const TaskRef &other) const
    {
        return std::tie(this->job, this->occurrence, this->step, this->index)
                < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/** The specification of a job of steps, as it was accepted. */
struct StepJob
{
    JobId id;
    /** The queue to which the job was submitted. */
    std::string queue;
    ServiceId service;
    /** The payload for the tasks, passed on unmodified. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** The number of times that the steps run; 1 for a job without a schedule. */
    std::uint32_t occurrences = 1;
    /** Whether the occurrences have scheduled times: firstDue, and then one every interval. */
    bool timed = false;
    UnixMillis firstDue = 0;
    milliseconds interval { 0 };
    UnixMillis acceptedAt = 0;
    /** The settings of the queue at the time of acceptance, from here to latencyTarget. */
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double slackFactor = 1.0;
    milliseconds latencyTarget { 0 };

    /** Returns whether any step is long-running. */
    bool runsIndefinitely() const;

    /** Returns the number of tasks of all steps and occurrences. */
    std::size_t taskCount() const;

    /** Returns the position of a task among all tasks, by occurrence, step and index. */
    std::size_t positionOf(const TaskRef &task) const;

    /** Returns the task at a position below taskCount(). */
    TaskRef taskAt(std::size_t position) const;

    /** Returns the work of all tasks by their estimates, in milliseconds of one processor;
        9e18 when it is more. */
    std::int64_t estimatedCoreMillis() const;

private:
    /** Returns the number of tasks of one occurrence. */
    std::size_t tasksPerOccurrence() const;
};

/** Identifies one attempt at a task. */
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

/** The state of a job that is shown to callers. */
enum class JobState : std::uint8_t { Queued, Running, Succeeded, Failed, Cancelled };

} // namespace bulrush
