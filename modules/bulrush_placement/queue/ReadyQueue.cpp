#include "bulrush_placement/queue/ReadyQueue.h"

#include <utility>

namespace bulrush::placement {

bool ReadyQueue::push(const TaskView &task, Instant now)
{
    if (this->places.contains(task.job)) {
        return false;
    }
    this->enqueue({ task, now, this->nextSequence++ });
    return true;
}

std::optional<QueuedTask> ReadyQueue::pop(const QuotaBook &quotas, Instant now)
{
    this->returnDue(now);
    const Pick urgent = this->pick(this->lane(Urgency::Urgent), quotas, now);
    const bool checksOverdue = this->urgentInARow >= this->settings.urgentBurst;
    if (urgent.tasks != nullptr && !checksOverdue) {
        ++this->urgentInARow;
        return this->takeOut(urgent);
    }
    const Pick ordinary = this->pick(this->lane(Urgency::Ordinary), quotas, now);
    this->urgentInARow = 0;
    if (urgent.tasks != nullptr && !ordinary.isOverdue) {
        return this->takeOut(urgent);
    }
    if (ordinary.tasks == nullptr) {
        return std::nullopt;
    }
    return this->takeOut(ordinary);
}

void ReadyQueue::putBack(const QueuedTask &queued, Instant retryAt)
{
    if (this->places.contains(queued.task.job)) {
        return;
    }
    const RetryKey key { retryAt, queued.sequence };
    const AgeKey age { queued.queuedAt, queued.sequence };
    this->deferred.emplace(key, queued);
    this->places[queued.task.job] = { queued.task.urgency, queued.task.team, age, key };
}

bool ReadyQueue::cancel(const JobId &job)
{
    const auto place = this->places.find(job);
    if (place == this->places.end()) {
        return false;
    }
    if (place->second.retry) {
        this->deferred.erase(*place->second.retry);
    } else {
        Lane &lane = this->lane(place->second.urgency);
        const auto team = lane.find(place->second.team);
        team->second.erase(place->second.age);
        if (team->second.empty()) {
            lane.erase(team);
        }
    }
    this->places.erase(place);
    return true;
}

void ReadyQueue::enqueue(const QueuedTask &queued)
{
    const AgeKey age { queued.queuedAt, queued.sequence };
    this->lane(queued.task.urgency)[queued.task.team].emplace(age, queued);
    this->places[queued.task.job] = { queued.task.urgency, queued.task.team, age, std::nullopt };
}

void ReadyQueue::returnDue(Instant now)
{
    while (!this->deferred.empty() && this->deferred.begin()->first.retryAt <= now) {
        this->enqueue(this->deferred.begin()->second);
        this->deferred.erase(this->deferred.begin());
    }
}

ReadyQueue::Pick ReadyQueue::pick(Lane &lane, const QuotaBook &quotas, Instant now)
{
    Pick best;
    for (auto &[team, tasks] : lane) {
        const auto &[age, queued] = *tasks.begin();
        if (!quotas.mayTake(team, queued.task.declared)) {
            continue;
        }
        const bool isOverdue = now - age.queuedAt > this->settings.agingBound;
        const Pick candidate { &tasks, quotas.share(team), age, isOverdue };
        if (best.tasks == nullptr || goesBefore(candidate, best)) {
            best = candidate;
        }
    }
    return best;
}

bool ReadyQueue::goesBefore(const Pick &left, const Pick &right)
{
    if (left.isOverdue != right.isOverdue) {
        return left.isOverdue;
    }
    if (!left.isOverdue && left.share != right.share) {
        return left.share < right.share;
    }
    return left.age < right.age;
}

QueuedTask ReadyQueue::takeOut(const Pick &pick)
{
    QueuedTask queued = std::move(pick.tasks->begin()->second);
    pick.tasks->erase(pick.tasks->begin());
    if (pick.tasks->empty()) {
        this->lane(queued.task.urgency).erase(queued.task.team);
    }
    this->places.erase(queued.task.job);
    return queued;
}

} // namespace bulrush::placement
