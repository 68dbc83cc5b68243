#pragma once

#include "bulrush_tasks/model/Task.h"

#include <map>
#include <set>

namespace bulrush {

/**
    Distinguishes workers that fail every task from tasks that fail on every worker.

    Evidence against a worker is the number of tasks that failed on it and on no other worker.
    Evidence against a task is the number of workers that it failed on, not counting workers that
    are set aside. A success clears the worker and the task.
*/
class FailureEvidence
{
public:
    /** How many different failed tasks set a worker aside, and how many different failing workers
        set a task aside. */
    static constexpr std::size_t threshold = 3;

    void recordFailure(const TaskId &task, const VmId &worker);
    void recordSuccess(const TaskId &task, const VmId &worker);

    /** Returns whether the worker must not get new work. */
    bool isWorkerSetAside(const VmId &worker) const;

    /** Returns whether the task must not get a further attempt.
        @param workerCount how many workers it could have run on; if this is smaller than the
                           threshold, it is used instead, but at least 2 */
    bool shouldAbandonTask(const TaskId &task, std::size_t workerCount) const;

private:
    std::map<VmId, std::set<TaskId>> failedTasksByWorker;
    std::map<TaskId, std::set<VmId>> failingWorkersByTask;
};

} // namespace bulrush
