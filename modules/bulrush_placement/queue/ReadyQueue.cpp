#include "bulrush_placement/queue/ReadyQueue.h"

#include <utility>

namespace bulrush::placement {

bool ReadyQueue::push(const TaskView &task, Instant now)
{
    if (this->positions.contains(task.job)) {
        return false;
    }
    this->enqueue({ task, now, this->nextSequence++ });
    return true;
}

std::optional<QueuedTask> ReadyQueue::pop(const QuotaTable &quotas, Instant now)
{
    this->enqueueDue(now);
    const Candidate urgent = this->bestCandidate(this->lane(Urgency::Urgent), quotas, now);
    const bool isBurstUsedUp = this->consecutiveUrgent >= this->settings.urgentBurst;
    if (urgent.tasks != nullptr && !isBurstUsedUp) {
        ++this->consecutiveUrgent;
        return this->remove(urgent);
    }
    const Candidate ordinary = this->bestCandidate(this->lane(Urgency::Ordinary), quotas, now);
    this->consecutiveUrgent = 0;
    if (urgent.tasks != nullptr && !ordinary.isOverdue) {
        return this->remove(urgent);
    }
    if (ordinary.tasks == nullptr) {
        return std::nullopt;
    }
    return this->remove(ordinary);
}

void ReadyQueue::defer(const QueuedTask &queued, Instant retryAt)
{
    if (this->positions.contains(queued.task.job)) {
        return;
    }
    const RetryKey key { retryAt, queued.sequence };
    const AgeKey age { queued.queuedAt, queued.sequence };
    this->deferred.emplace(key, queued);
    this->positions[queued.task.job] = { queued.task.urgency, queued.task.team, age, key };
}

bool ReadyQueue::cancel(const JobId &job)
{
    const auto position = this->positions.find(job);
    if (position == this->positions.end()) {
        return false;
    }
    if (position->second.retry) {
        this->deferred.erase(*position->second.retry);
    } else {
        Lane &lane = this->lane(position->second.urgency);
        const auto team = lane.find(position->second.team);
        team->second.erase(position->second.age);
        if (team->second.empty()) {
            lane.erase(team);
        }
    }
    this->positions.erase(position);
    return true;
}

void ReadyQueue::enqueue(const QueuedTask &queued)
{
    const AgeKey age { queued.queuedAt, queued.sequence };
    this->lane(queued.task.urgency)[queued.task.team].emplace(age, queued);
    this->positions[queued.task.job] = { queued.task.urgency, queued.task.team, age, std::nullopt };
}

void ReadyQueue::enqueueDue(Instant now)
{
    while (!this->deferred.empty() && this->deferred.begin()->first.retryAt <= now) {
        this->enqueue(this->deferred.begin()->second);
        this->deferred.erase(this->deferred.begin());
    }
}

ReadyQueue::Candidate ReadyQueue::bestCandidate(Lane &lane, const QuotaTable &quotas, Instant now)
{
    Candidate best;
    for (auto &[team, tasks] : lane) {
        const auto &[age, queued] = *tasks.begin();
        if (!quotas.canAcquire(team, queued.task.declared)) {
            continue;
        }
        const bool isOverdue = now - age.queuedAt > this->settings.overdueAfter;
        const Candidate candidate { &tasks, quotas.dominantShare(team), age, isOverdue };
        if (best.tasks == nullptr || precedes(candidate, best)) {
            best = candidate;
        }
    }
    return best;
}

bool ReadyQueue::precedes(const Candidate &left, const Candidate &right)
{
    if (left.isOverdue != right.isOverdue) {
        return left.isOverdue;
    }
    if (!left.isOverdue && left.dominantShare != right.dominantShare) {
        return left.dominantShare < right.dominantShare;
    }
    return left.age < right.age;
}

QueuedTask ReadyQueue::remove(const Candidate &candidate)
{
    QueuedTask queued = std::move(candidate.tasks->begin()->second);
    candidate.tasks->erase(candidate.tasks->begin());
    if (candidate.tasks->empty()) {
        this->lane(queued.task.urgency).erase(queued.task.team);
    }
    this->positions.erase(queued.task.job);
    return queued;
}

} // namespace bulrush::placement
