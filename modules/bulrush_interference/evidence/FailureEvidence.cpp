#include "bulrush_interference/evidence/FailureEvidence.h"

#include <algorithm>

namespace bulrush::interference {

namespace {

/** Different other tasks that a worker may have failed and still be taken for sound. */
constexpr std::size_t otherFailuresOfSoundWorker = 1;

/** Other sound workers that may have failed a task before it is doubted itself. */
constexpr std::size_t otherFailuresOfSoundTask = 1;

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

bool FailureEvidence::isWorkerBad(const VmId &worker, Instant now) const
{
    const auto found = this->workerFailures.find(worker);
    if (found == this->workerFailures.end()) {
        return false;
    }
    std::size_t against = 0;
    for (const auto &failure : found->second) {
        const bool counts = this->isFresh(failure.at, now)
                && this->soundWorkers(failure.other, worker, now) <= otherFailuresOfSoundTask;
        against += counts ? 1 : 0;
    }
    return against >= this->settings.tasksAgainstWorker;
}

bool FailureEvidence::isTaskBad(const JobId &job, Instant now) const
{
    return this->soundWorkers(job, VmId(), now) >= this->settings.workersAgainstTask;
}

void FailureEvidence::forgetWorker(const VmId &worker)
{
    this->workerFailures.erase(worker);
}

void FailureEvidence::forgetTask(const JobId &job)
{
    this->taskFailures.erase(job);
}

template<class Id>
void FailureEvidence::add(Failures<Id> &failures, const Id &other, Instant at) const
{
    std::erase_if(failures, [&other](const Failure<Id> &old) { return old.other == other; });
    failures.push_back({ other, at });
    if (failures.size() > this->settings.outcomesKept) {
        failures.pop_front();
    }
}

std::size_t FailureEvidence::differentTasks(const VmId &worker, const JobId &except,
                                            Instant now) const
{
    const auto found = this->workerFailures.find(worker);
    if (found == this->workerFailures.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](const auto &failure) {
                return failure.other != except && this->isFresh(failure.at, now);
            }));
}

std::size_t FailureEvidence::soundWorkers(const JobId &job, const VmId &except, Instant now) const
{
    const auto found = this->taskFailures.find(job);
    if (found == this->taskFailures.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(), [&](const auto &failure) {
                return failure.other != except && this->isFresh(failure.at, now)
                        && this->differentTasks(failure.other, job, now)
                        <= otherFailuresOfSoundWorker;
            }));
}

} // namespace bulrush::interference
