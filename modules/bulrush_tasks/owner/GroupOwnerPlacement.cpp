#include "bulrush_tasks/owner/GroupOwner.h"

#include <algorithm>

namespace bulrush {

namespace {

/** The minimum delay between a failure of a task and its next attempt. */
constexpr Duration retryDelay = seconds(5);

} // namespace

std::vector<TaskId> GroupOwner::pendingTasks(const TickContext &context) const
{
    std::vector<TaskId> pending;
    if (!context.view.usable) {
        return pending;
    }
    const auto &states = this->state().tasks();
    for (const TaskRange &range : context.view.claims->rangesOf(this->identity.group)) {
        if (context.jobs.find(range.job) == nullptr || context.jobs.isCancelled(range.job)) {
            continue;
        }
        TaskId task { range.job, range.first };
        auto state = states.lower_bound(task);
        for (; task.index <= range.last; ++task.index) {
            while (state != states.end() && state->first < task) {
                ++state;
            }
            const bool hasState = state != states.end() && state->first == task;
            if (this->isStartableState(task, hasState ? &state->second : nullptr, context)) {
                pending.push_back(task);
            }
        }
    }
    const auto isUrgent = [&context](const TaskId &task) {
        return context.jobs.find(task.job)->urgent;
    };
    std::stable_partition(pending.begin(), pending.end(), isUrgent);
    return pending;
}

bool GroupOwner::isPending(const TaskId &task, const TickContext &context) const
{
    return context.jobs.find(task.job) != nullptr && !context.jobs.isCancelled(task.job)
            && this->isStartableState(task, this->state().find(task), context);
}

/** Returns whether a task may get a new attempt, if its job is known and not cancelled. */
bool GroupOwner::isStartableState(const TaskId &task, const TaskState *state,
                                  const TickContext &context) const
{
    const bool open = state != nullptr && state->open && this->guards.newAttemptAfterEnd;
    if (open || (state != nullptr && state->final) || this->returning.contains(task)
        || this->queuedIntents.contains(task)) {
        return false;
    }
    const auto failed = this->failedAt.find(task);
    return failed == this->failedAt.end() || context.now - failed->second >= retryDelay;
}

bool GroupOwner::mayTakeWork(const VmId &id, const ManagedWorker &worker,
                             const TickContext &context) const
{
    const Duration maxAnswerAge =
            2 * this->durations.exchangePeriod + this->durations.exchangeTimeout;
    return worker.ledger.isKnown() && !worker.isLeaving() && !worker.missingSince
            && !worker.revokedSince && context.now - worker.answeredAt <= maxAnswerAge
            && !this->evidence.isWorkerSetAside(id)
            && mayGrantLease(context.view, id, this->durations, context.now, this->guards);
}

std::vector<PlacementCandidate> GroupOwner::candidates(const TickContext &context) const
{
    std::vector<PlacementCandidate> result;
    for (const auto &[id, worker] : this->managed) {
        if (this->mayTakeWork(id, worker, context)) {
            result.push_back({ id, worker.ledger.capacity(), worker.ledger.free() });
        }
    }
    return result;
}

void GroupOwner::placeTasks(TickContext &context)
{
    const std::vector<TaskId> pending = this->pendingTasks(context);
    std::vector<PlacementCandidate> candidates = this->candidates(context);
    std::map<TaskId, Instant> unplaced;
    for (const TaskId &task : pending) {
        const JobSpec &spec = *context.jobs.find(task.job);
        if (!this->place(task, spec, candidates, context)) {
            const auto since = this->unplacedSince.find(task);
            unplaced[task] = since == this->unplacedSince.end() ? context.now : since->second;
        }
    }
    this->unplacedSince = std::move(unplaced);
}

bool GroupOwner::place(const TaskId &task, const JobSpec &spec,
                       std::vector<PlacementCandidate> &candidates, TickContext &context)
{
    const TaskState *state = this->state().find(task);
    const std::span<const VmId> failedOn =
            state == nullptr ? std::span<const VmId>() : std::span<const VmId>(state->failedOn);
    const PlacementRequest request { task, spec.kind, spec.need, spec.urgent, failedOn };
    const std::optional<VmId> choice = this->placement.choose(request, candidates);
    if (!choice) {
        return false;
    }
    const CarriedTask carried = context.view.claims->carriedTaskOf(task.job, task.index);
    const std::uint32_t last = state == nullptr ? 0 : state->lastAttempt;
    const bool carriedIsNewer = carried.attempt > last;
    IntentRecord intent { { task, std::max(last, carried.attempt) + 1 },
                          *choice,
                          spec.kind,
                          spec.need,
                          spec.runMs,
                          carriedIsNewer || state == nullptr ? carried.checkpoint
                                                             : state->checkpoint };
    ManagedWorker &worker = this->managed.at(*choice);
    if (!worker.ledger.commit(intent.attempt, spec.need)) {
        return false;
    }
    const auto isChoice = [&choice](const auto &candidate) { return candidate.worker == *choice; };
    std::find_if(candidates.begin(), candidates.end(), isChoice)->free = worker.ledger.free();
    this->queuedIntents.insert(task);
    this->unconfirmed[intent.attempt] = intent;
    this->queue.emplace_back(std::move(intent));
    this->urgentQueued = this->urgentQueued || spec.urgent;
    return true;
}

} // namespace bulrush
