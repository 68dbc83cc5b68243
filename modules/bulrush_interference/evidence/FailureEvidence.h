#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace bulrush::interference {

/** Constants of the evidence. */
struct EvidenceSettings
{
    std::size_t minTasksAgainstWorker = 3; ///< different tasks that must have failed on a worker
    std::size_t minWorkersAgainstTask = 3; ///< different workers that must have failed a task
    std::size_t maxFailuresKept = 16; ///< newest outcomes kept for each worker and task
    Duration window = minutes(30); ///< older outcomes do not count
};

/**
    Tells workers that fail everything they start from tasks that fail everywhere.

    A failure counts against the worker only while the task has not failed on other workers that
    are sound, and against the task only where the worker is sound: one whose newest outcomes are
    not failures of several different tasks. A success clears the worker's or the task's account.
*/
class FailureEvidence
{
public:
    explicit FailureEvidence(const EvidenceSettings &settings = {})
        : settings(settings)
    {
    }

    /** Takes in how an attempt ended; an attempt that was stopped on purpose is not recorded. */
    void record(const VmId &worker, const JobId &job, bool succeeded, Instant at);

    /** Returns whether a worker is to get no new work because it fails everything. */
    bool isWorkerFaulty(const VmId &worker, Instant now) const;

    /** Returns whether a task is to be given up because it fails everywhere. */
    bool isTaskFaulty(const JobId &job, Instant now) const;

    /** Drops a worker that was repaired or replaced. */
    void removeWorker(const VmId &worker);

    /** Drops a task that ended or was cancelled. */
    void removeTask(const JobId &job);

private:
    template<class Id>
    struct Failure
    {
        Id other;
        Instant at;
    };

    template<class Id>
    using Failures = std::deque<Failure<Id>>;

    template<class Id>
    void add(Failures<Id> &failures, const Id &other, Instant at) const;

    bool isInWindow(Instant at, Instant now) const { return now - at <= this->settings.window; }
    std::size_t countFailedTasks(const VmId &worker, const JobId &except, Instant now) const;
    std::size_t countHealthyWorkers(const JobId &job, const VmId &except, Instant now) const;

    EvidenceSettings settings;
    std::unordered_map<VmId, Failures<JobId>> workerFailures;
    std::unordered_map<JobId, Failures<VmId>> taskFailures;
};

} // namespace bulrush::interference
