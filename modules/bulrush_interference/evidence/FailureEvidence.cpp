#include "bulrush_interference/evidence/FailureEvidence.h"

#include <algorithm>

namespace bulrush::interference {

namespace {

/** Maximum number of other tasks that may recently have failed on a worker for it to count as
    healthy. */
constexpr std::size_t maxOtherTasksOfHealthyWorker = 1;

/** Maximum number of other healthy workers on which a task may recently have failed for its failure
    to count against a worker. */
constexpr std::size_t maxOtherWorkersOfHealthyTask = 1;

} // namespace

void FailureEvidence::record(const VmId &worker, const JobId &job, bool succeeded, Instant at)
{
    if (succeeded) {
        this->workerFailures.erase(worker);
        this->taskFailures.erase(job);
        return;
    }
    this->add(this->workerFailures[worker], job, at);
    this->add(this->taskFailures[job], worker, at);
}

bool FailureEvidence::isWorkerFaulty(const VmId &worker, Instant now) const
{
    const auto found = this->workerFailures.find(worker);
    if (found == this->workerFailures.end()) {
        return false;
    }
    std::size_t count = 0;
    for (const auto &failure : found->second) {
        const bool counts = this->isInWindow(failure.at, now)
                && this->countHealthyWorkers(failure.other, worker, now)
                        <= maxOtherWorkersOfHealthyTask;
        count += counts ? 1 : 0;
    }
    return count >= this->settings.minTasksAgainstWorker;
}

bool FailureEvidence::isTaskFaulty(const JobId &job, Instant now) const
{
    return this->countHealthyWorkers(job, VmId(), now) >= this->settings.minWorkersAgainstTask;
}

void FailureEvidence::removeWorker(const VmId &worker)
{
    this->workerFailures.erase(worker);
}

void FailureEvidence::removeTask(const JobId &job)
{
    this->taskFailures.erase(job);
}

template<class Id>
void FailureEvidence::add(Failures<Id> &failures, const Id &other, Instant at) const
{
    std::erase_if(failures, [&other](const Failure<Id> &old) { return old.other == other; });
    failures.push_back({ other, at });
    if (failures.size() > this->settings.maxFailuresKept) {
        failures.pop_front();
    }
}

std::size_t FailureEvidence::countFailedTasks(const VmId &worker, const JobId &except,
                                              Instant now) const
{
    const auto found = this->workerFailures.find(worker);
    if (found == this->workerFailures.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](const auto &failure) {
                return failure.other != except && this->isInWindow(failure.at, now);
            }));
}

std::size_t FailureEvidence::countHealthyWorkers(const JobId &job, const VmId &except,
                                                 Instant now) const
{
    const auto found = this->taskFailures.find(job);
    if (found == this->taskFailures.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](const auto &failure) {
                return failure.other != except && this->isInWindow(failure.at, now)
                        && this->countFailedTasks(failure.other, job, now)
                        <= maxOtherTasksOfHealthyWorker;
            }));
}

} // namespace bulrush::interference
