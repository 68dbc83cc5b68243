#pragma once

#include "bulrush_tasks/model/Task.h"

#include <map>
#include <set>

namespace bulrush {

/**
    Tells workers that fail every task from tasks that fail on every worker.

    A worker is suspect by different tasks that failed on it alone; a task by different workers
    that are not suspect themselves. A success clears the worker.
*/
class FailureEvidence
{
public:
    /** How many different tasks set a worker aside, or different workers a task. */
    static constexpr std::size_t enough = 3;

    void recordFailure(const TaskId &task, const VmId &worker);
    void recordSuccess(const TaskId &task, const VmId &worker);

    /** Returns whether the worker is to get no new work. */
    bool isWorkerSetAside(const VmId &worker) const;

    /** Returns whether the task is to get no further attempt.
        @param workerCount how many workers it could have run on */
    bool isTaskSetAside(const TaskId &task, std::size_t workerCount) const;

private:
    std::map<VmId, std::set<TaskId>> tasksFailedOn;
    std::map<TaskId, std::set<VmId>> workersFailing;
};

} // namespace bulrush
