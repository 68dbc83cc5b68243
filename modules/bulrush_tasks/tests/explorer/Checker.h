#pragma once

#include "bulrush_tasks/model/Task.h"
#include "bulrush_tasks/workers/Exchange.h"

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

namespace bulrush::explorer {

/** Thrown when a checked property is violated. */
class InvariantViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
    Checks, solely from the workers' own state and the raw log, that (1) no VM is over-committed,
    (2) no task runs in two places at once, (3) an evicted task resumes from its last checkpoint,
    and (4) a finished task stays finished. Each message starts with the number of the violated
    property. Apart from the types of the exchange and the ids, the Checker shares no code with the
    modules under test.
*/
class Checker
{
public:
    /** Processes a record at the moment it takes effect in the log. */
    void recordAppended(const std::string &stream, std::string_view payload);

    /** Processes a state change of an attempt at a worker. */
    void attemptStarted(const VmId &worker, const StartCommand &start);
    void attemptEnded(const VmId &worker, const InventoryItem &item);
    void attemptForgotten(const InventoryItem &item);

    /** Removes the attempts of a worker whose process restarted or whose VM ended. */
    void workerStateLost(const VmId &worker);

    /** Checks that the running attempts of a worker fit its capacity. */
    void requireWithinCapacity(const VmId &worker, const Resources &used,
                               const Resources &capacity) const;

    /** Returns how many tasks have a final end in the log. */
    std::size_t finishedCount() const { return this->finishedTasks.size(); }
    std::size_t finishedCount(const JobId &job) const;

    /** Returns how many attempts were started at the workers. */
    std::size_t startCount() const { return this->startedAttempts.size(); }
    std::size_t startCount(const JobId &job) const;

    /** Returns the worker on which a task runs; an empty id when it does not run. */
    VmId workerRunning(const TaskId &task) const;

private:
    struct EndedAttempt
    {
        VmId worker;
        InventoryItem item;
    };

    void endRecorded(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint);

    std::map<std::string, Epoch> fencingEpochs;
    std::map<TaskId, VmId> runningOn;
    std::map<AttemptId, EndedAttempt> endedAttempts; ///< ended attempts that a worker still holds
    std::set<AttemptId> startedAttempts;
    std::set<AttemptId> recordedEnds; ///< attempts whose end is in the log
    std::set<TaskId> finishedTasks; ///< tasks whose final end is in the log
    std::map<TaskId, std::int64_t> resumePositions; ///< the progress at the last recorded eviction
};

} // namespace bulrush::explorer
