#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace bulrush::interference {

/** Thresholds of the failure detection. */
struct EvidenceSettings
{
    std::size_t minTasksAgainstWorker = 3; ///< distinct failed tasks that make a worker faulty
    std::size_t minWorkersAgainstTask = 3; ///< distinct healthy workers that make a task faulty
    std::size_t maxFailuresKept = 16; ///< newest failures kept for each worker and task
    Duration window = minutes(30); ///< older failures do not count
};

/**
    Distinguishes workers that fail every task from tasks that fail on every worker.

    A failure counts against the worker unless the task also failed on more than one other healthy
    worker, and against the task only if the worker is healthy, that is, if at most one other task
    failed on it recently. A success clears the failures of both the worker and the task.
*/
class FailureEvidence
{
public:
    explicit FailureEvidence(const EvidenceSettings &settings = {})
        : settings(settings)
    {
    }

    /** Records the outcome of an attempt; callers must not record attempts that were stopped
        deliberately. */
    void record(const VmId &worker, const JobId &job, bool succeeded, Instant at);

    /** Returns whether a worker should get no new tasks because it fails every task. */
    bool isWorkerFaulty(const VmId &worker, Instant now) const;

    /** Returns whether a task should be given up because it fails on every worker. */
    bool isTaskFaulty(const JobId &job, Instant now) const;

    /** Clears the failures of a worker that was repaired or replaced. */
    void removeWorker(const VmId &worker);

    /** Clears the failures of a task that ended or was cancelled. */
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
