#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** The state of one task. */
struct StepTask
{
    bool succeeded = false;
    /** Attempts that were counted as failed. */
    std::vector<std::uint64_t> failedAttempts;
    std::uint64_t lastAttempt = 0;
    /** Workers on which attempts failed, stalled or were slow. */
    std::vector<TargetId> failedOn;
    /** The number of times that the task was moved because its run stalled or was slow. */
    std::uint32_t relocations = 0;
    /** The newest checkpoint that a worker reported. */
    std::string checkpoint;
    /** Attempts since the last one that lasted, at which a worker crashed just after it had begun
        the run. @see CrashSign::Suspicion */
    std::vector<std::uint64_t> crashedAttempts;
    /** Those of them whose run was alone among the young ones there. @see CrashSign::Evidence */
    std::vector<std::uint64_t> youngCrashes;
    /** Whether the newest attempt was started apart. @see CrashSuspects */
    bool startedApart = false;
    /** Since when this owner has looked for a worker to start the task apart. */
    std::optional<Instant> apartWaitSince;
    /** The number of runs that may be alive. */
    std::uint32_t openRuns = 0;
    /** Since when the task has had no run that a worker confirmed; none while it has one, and
        before its first start under this owner if nothing is on record. @see JobEntry::waitOf */
    std::optional<Instant> waitsSince;
    /** Of a long-running task: waitsSince as calendar time, which its record gives to the next
        owner; none while the record gives none. */
    std::optional<UnixMillis> recordedWaitsSince;
    /** The worker on which a run of a long-running task may be alive, as on record or about to be;
        none while none may be. Any earlier run is no longer alive when the task is assigned to
        another worker or to none. */
    std::optional<TargetId> assignedTo;
    /** The number of the change that puts the assignment on record. */
    std::uint64_t assignmentChange = 0;

    /** Returns whether the task is to be started: it has not succeeded and has no run. */
    bool isOpen() const { return !this->succeeded && this->openRuns == 0; }
};

/**
    The states of the tasks of one step.

    Keeps the state of a task from its first start until it has succeeded and has no run, and one
   bit for each other task, so that the memory follows the tasks that are under way.
*/
class TaskStates
{
public:
    explicit TaskStates(std::uint32_t taskCount = 0)
        : count(taskCount)
    {
    }

    std::uint32_t size() const { return this->count; }

    /** Returns the number of tasks that have succeeded. */
    std::uint32_t succeeded() const { return this->succeededCount; }

    bool allSucceeded() const { return this->succeededCount == this->count; }

    /** Returns the number of tasks that are to be started. @see StepTask::isOpen */
    std::uint32_t open() const;

    /** Returns the state of a task. The reference is valid until the task's state changes. */
    const StepTask &at(std::uint32_t index) const;

    /** Returns the state of a task to change. The reference is valid until release(). */
    StepTask &change(std::uint32_t index);

    /** Marks a task as succeeded. @returns false when it was before */
    bool markSucceeded(std::uint32_t index);

    /** Drops the state of a task that has succeeded and has no run. */
    void release(std::uint32_t index);

    /** Marks all tasks as succeeded. */
    void markAllSucceeded();

    /** Drops the states of all tasks but for whether they have succeeded. */
    void releaseAll() { this->states.clear(); }

    /** Returns the states that are kept, by index. */
    const std::map<std::uint32_t, StepTask> &kept() const { return this->states; }

    /** Calls visit(index, state) for each task that is to be started, by ascending index. */
    template<class Visit>
    void forEachOpen(Visit visit) const
    {
        auto next = this->states.begin();
        for (std::uint32_t index = 0; index < this->count; ++index) {
            if (next != this->states.end() && next->first == index) {
                if (next->second.isOpen()) {
                    visit(index, next->second);
                }
                ++next;
            } else if (!this->hasSucceeded(index)) {
                visit(index, unstartedTask());
            }
        }
    }

private:
    static const StepTask &unstartedTask();

    bool hasSucceeded(std::uint32_t index) const
    {
        return this->allSucceeded() || (!this->done.empty() && this->done[index]);
    }

    std::uint32_t count;
    std::uint32_t succeededCount = 0;
    std::map<std::uint32_t, StepTask> states;
    /** Which tasks have succeeded; empty while none or all have. */
    std::vector<bool> done;
};

} // namespace bulrush
