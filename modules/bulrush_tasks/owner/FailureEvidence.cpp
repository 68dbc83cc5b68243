#include "bulrush_tasks/owner/FailureEvidence.h"

#include <algorithm>

namespace bulrush {

void FailureEvidence::recordFailure(const TaskId &task, const VmId &worker)
{
    this->tasksFailedOn[worker].insert(task);
    this->workersFailing[task].insert(worker);
}

void FailureEvidence::recordSuccess(const TaskId &task, const VmId &worker)
{
    this->tasksFailedOn.erase(worker);
    this->workersFailing.erase(task);
}

bool FailureEvidence::isWorkerSetAside(const VmId &worker) const
{
    const auto failures = this->tasksFailedOn.find(worker);
    if (failures == this->tasksFailedOn.end()) {
        return false;
    }
    std::size_t evidence = 0;
    for (const TaskId &task : failures->second) {
        const auto workers = this->workersFailing.find(task);
        const bool onlyHere = workers == this->workersFailing.end() || workers->second.size() == 1;
        evidence += onlyHere ? 1 : 0;
    }
    return evidence >= enough;
}

bool FailureEvidence::isTaskSetAside(const TaskId &task, std::size_t workerCount) const
{
    const auto workers = this->workersFailing.find(task);
    if (workers == this->workersFailing.end()) {
        return false;
    }
    std::size_t evidence = 0;
    for (const VmId &worker : workers->second) {
        evidence += this->isWorkerSetAside(worker) ? 0 : 1;
    }
    return evidence >= std::clamp<std::size_t>(workerCount, 2, enough);
}

} // namespace bulrush
