#include "bulrush_tasks/owner/FailureEvidence.h"

#include <algorithm>

namespace bulrush {

void FailureEvidence::recordFailure(const TaskId &task, const VmId &worker)
{
    this->failedTasksByWorker[worker].insert(task);
    this->failingWorkersByTask[task].insert(worker);
}

void FailureEvidence::recordSuccess(const TaskId &task, const VmId &worker)
{
    this->failedTasksByWorker.erase(worker);
    this->failingWorkersByTask.erase(task);
}

bool FailureEvidence::isWorkerSetAside(const VmId &worker) const
{
    const auto failures = this->failedTasksByWorker.find(worker);
    if (failures == this->failedTasksByWorker.end()) {
        return false;
    }
    std::size_t count = 0;
    for (const TaskId &task : failures->second) {
        const auto workers = this->failingWorkersByTask.find(task);
        const bool onlyHere =
                workers == this->failingWorkersByTask.end() || workers->second.size() == 1;
        count += onlyHere ? 1 : 0;
    }
    return count >= threshold;
}

bool FailureEvidence::shouldAbandonTask(const TaskId &task, std::size_t workerCount) const
{
    const auto workers = this->failingWorkersByTask.find(task);
    if (workers == this->failingWorkersByTask.end()) {
        return false;
    }
    std::size_t count = 0;
    for (const VmId &worker : workers->second) {
        count += this->isWorkerSetAside(worker) ? 0 : 1;
    }
    return count >= std::clamp<std::size_t>(workerCount, 2, threshold);
}

} // namespace bulrush
