#pragma once

#include "bulrush_tasks/model/Task.h"

#include <map>
#include <set>

namespace bulrush {

/**
    Distinguishes workers that fail every task from tasks that fail on every worker.

    Evidence against a worker is the number of tasks that failed on it, not counting tasks with
    recorded failures on several workers. A worker with enough evidence against it is set aside: it
    gets no new work. Evidence against a task is the number of workers that it failed on, not
    counting those that are set aside. A success removes the evidence against the worker and the
    recorded failures of the task.
*/
class FailureEvidence
{
public:
    /** The number of tasks after which a worker is set aside, and the number of workers after which
        a task is abandoned. */
    static constexpr std::size_t threshold = 3;

    void recordFailure(const TaskId &task, const VmId &worker);
    void recordSuccess(const TaskId &task, const VmId &worker);

    /** Returns whether the worker must not get new work. */
    bool isWorkerSetAside(const VmId &worker) const;

    /** Returns whether the task must not get a further attempt.
        @param workerCount the number of workers in the group; if it is below the threshold, the
                           threshold is lowered to it, but not below 2 */
    bool shouldAbandonTask(const TaskId &task, std::size_t workerCount) const;

private:
    std::map<VmId, std::set<TaskId>> failedTasksByWorker;
    std::map<TaskId, std::set<VmId>> failingWorkersByTask;
};

} // namespace bulrush
