#include "bulrush_tasks/owner/GroupOwner.h"

#include <algorithm>

namespace bulrush {

namespace {

/** The maximum number of tasks that are moved off one leaving worker at the same time. */
constexpr std::size_t drainBudget = 4;

Outcome outcomeOf(AttemptState state, const std::map<AttemptId, StopOrder> &stops,
                  const AttemptId &attempt)
{
    switch (state) {
    case AttemptState::Finished:
        return Outcome::Finished;
    case AttemptState::Failed:
        return Outcome::Failed;
    case AttemptState::Lapsed:
        return Outcome::Lapsed;
    default:
        const auto order = stops.find(attempt);
        return order == stops.end() ? Outcome::Evicted : order->second.reason;
    }
}

} // namespace

void GroupOwner::exchangeFailed(const VmId &worker)
{
    const auto found = this->managed.find(worker);
    if (found != this->managed.end()) {
        found->second.inFlight = false;
    }
}

void GroupOwner::exchangeAnswered(const ExchangeAnswer &answer, Instant now)
{
    const auto found = this->managed.find(answer.worker);
    if (this->currentPhase != Phase::Owning || found == this->managed.end()) {
        return;
    }
    ManagedWorker &worker = found->second;
    if (!this->isCurrent(worker, answer, now)) {
        return;
    }
    worker.inFlight = false;
    this->applyInventory(worker, answer, now);
    this->evaluateInventory(worker);
    this->reconcile(worker);
}

bool GroupOwner::isCurrent(const ManagedWorker &worker, const ExchangeAnswer &answer,
                           Instant now) const
{
    if (!answer.accepted || answer.epoch != this->ownEpoch) {
        return false;
    }
    if (!this->guards.answerInOrder) {
        return true;
    }
    return worker.inFlight && answer.sequence == worker.sequence
            && now - worker.sentAt <= this->durations.exchangeTimeout;
}

void GroupOwner::applyInventory(ManagedWorker &worker, const ExchangeAnswer &answer, Instant now)
{
    worker.clock.answered(answer, now);
    worker.answeredAt = now;
    worker.silenceReported = false;
    worker.answeredLeaving = answer.leaving;
    worker.ledger.setCapacity(answer.capacity);
    if (worker.missingSince) {
        worker.missingSince = now;
    }
    if (worker.revokedSince) {
        worker.revokedSince = now;
    }
    std::map<AttemptId, InventoryItem> inventory;
    for (const InventoryItem &item : answer.inventory) {
        inventory[item.attempt] = item;
        if (item.state == AttemptState::Running && !worker.inventory.contains(item.attempt)) {
            this->queueEvent(Event::AttemptStarted, item.attempt, answer.worker.name());
        }
    }
    worker.inventory = std::move(inventory);
    for (auto &[attempt, order] : worker.stops) {
        order.awaitingCheckpoint = order.awaitingCheckpoint && !worker.checkpointsSent;
    }
}

void GroupOwner::evaluateInventory(const ManagedWorker &worker)
{
    for (const auto &[attempt, need] : worker.ledger.attempts()) {
        if (!this->state().isOpen(attempt) || this->queuedEnds.contains(attempt)) {
            continue;
        }
        const auto item = worker.inventory.find(attempt);
        if (item == worker.inventory.end()) {
            this->evaluateMissingAttempt(attempt, worker);
        } else {
            this->evaluateItem(item->second, worker);
        }
    }
}

/** An attempt that is not in its worker's inventory will never run there: any start that was sent
    for it is superseded by the exchange that the worker has just answered. */
void GroupOwner::evaluateMissingAttempt(const AttemptId &attempt, const ManagedWorker &worker)
{
    const bool inherited = this->state().find(attempt.task)->epoch != this->ownEpoch;
    const auto order = worker.stops.find(attempt);
    const bool stopped = order != worker.stops.end() && order->second.sent;
    if (inherited || stopped || worker.started.contains(attempt)) {
        this->queueEnd(attempt, Outcome::NeverStarted, this->lastCheckpoint(attempt, worker), "");
    }
}

void GroupOwner::evaluateItem(const InventoryItem &item, const ManagedWorker &worker)
{
    if (item.state == AttemptState::Running) {
        this->queueCheckpoint(item);
        return;
    }
    const Outcome outcome = outcomeOf(item.state, worker.stops, item.attempt);
    const bool useStop = this->guards.checkpointFromStop || outcome != Outcome::Evicted;
    const std::string recorded = this->state().find(item.attempt.task)->checkpoint;
    const std::string checkpoint = useStop && !item.checkpoint.empty() ? item.checkpoint : recorded;
    this->queueEnd(item.attempt, outcome, checkpoint, item.result);
}

void GroupOwner::queueCheckpoint(const InventoryItem &item)
{
    const bool known = item.checkpoint.empty()
            || item.checkpoint == this->state().find(item.attempt.task)->checkpoint;
    if (known || this->queuedCheckpoints.contains(item.attempt)) {
        return;
    }
    this->queuedCheckpoints[item.attempt] = item.checkpoint;
    this->queue.emplace_back(CheckpointRecord { item.attempt, item.checkpoint });
}

std::string GroupOwner::lastCheckpoint(const AttemptId &attempt, const ManagedWorker &worker) const
{
    const auto item = worker.inventory.find(attempt);
    if (item != worker.inventory.end() && !item->second.checkpoint.empty()) {
        return item->second.checkpoint;
    }
    const TaskState *task = this->state().find(attempt.task);
    return task == nullptr ? std::string() : task->checkpoint;
}

void GroupOwner::queueEnd(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint,
                          const std::string &result)
{
    if (!this->queuedEnds.insert(attempt).second) {
        return;
    }
    const VmId worker = this->state().find(attempt.task)->worker;
    Outcome recorded = outcome;
    if (outcome == Outcome::Failed) {
        this->evidence.recordFailure(attempt.task, worker);
        const bool abandoned = this->evidence.shouldAbandonTask(attempt.task, this->managed.size());
        recorded = abandoned ? Outcome::Abandoned : Outcome::Failed;
    } else if (outcome == Outcome::Finished) {
        this->evidence.recordSuccess(attempt.task, worker);
    }
    this->queue.emplace_back(EndRecord { attempt, recorded, checkpoint, result });
}

//==============================================================================
bool GroupOwner::isCommitted(const AttemptId &attempt, const ManagedWorker &worker) const
{
    if (this->state().isOpen(attempt) || this->unconfirmed.contains(attempt)) {
        return true;
    }
    const auto item = worker.inventory.find(attempt);
    return item != worker.inventory.end() && item->second.state == AttemptState::Running;
}

void GroupOwner::reconcile(ManagedWorker &worker)
{
    std::vector<AttemptId> released;
    for (const auto &[attempt, need] : worker.ledger.attempts()) {
        if (!this->isCommitted(attempt, worker)) {
            released.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : released) {
        worker.ledger.release(attempt);
        worker.started.erase(attempt);
    }
    for (const auto &[attempt, item] : worker.inventory) {
        if (item.state == AttemptState::Running && !worker.ledger.attempts().contains(attempt)) {
            worker.ledger.adopt(attempt, item.need);
            this->queueEvent(Event::WorkerRecordsMismatch, attempt, "runs without an open attempt");
        }
    }
}

//==============================================================================
void GroupOwner::detectLostWorkers(TickContext &context)
{
    std::vector<VmId> forgotten;
    for (auto &[id, worker] : this->managed) {
        const bool revoked = context.view.usable && context.view.claims->isRevoked(id);
        if (!revoked) {
            worker.revokedSince.reset();
        } else if (!worker.revokedSince) {
            worker.revokedSince = context.now;
        }
        this->reportSilence(id, worker, context);
        if (!this->isLost(id, worker, context)) {
            continue;
        }
        this->queueLostEnds(worker);
        if (worker.ledger.attempts().empty() && worker.missingSince) {
            forgotten.push_back(id);
        }
    }
    for (const VmId &id : forgotten) {
        this->managed.erase(id);
    }
}

bool GroupOwner::isLost(const VmId & /*id*/, ManagedWorker &worker,
                        const TickContext &context) const
{
    const Duration lapseWait =
            this->guards.lapseWait ? this->durations.lapseWait() : Duration::zero();
    const Duration goneWait = this->guards.goneWait ? this->durations.goneWait() : Duration::zero();
    const bool lapsed = worker.revokedSince && context.now - *worker.revokedSince >= lapseWait;
    const bool gone = worker.missingSince && context.now - *worker.missingSince >= goneWait;
    return lapsed || gone;
}

void GroupOwner::reportSilence(const VmId &id, ManagedWorker &worker, TickContext &context) const
{
    const bool silent = context.now - worker.answeredAt > this->durations.silence;
    if (silent && !worker.silenceReported) {
        worker.silenceReported = true;
        context.actions.emplace_back(EventAction { Event::WorkerSilent, id.name(), "" });
    }
}

void GroupOwner::queueLostEnds(const ManagedWorker &worker)
{
    for (const auto &[attempt, need] : worker.ledger.attempts()) {
        if (this->state().isOpen(attempt)) {
            this->queueEnd(attempt, Outcome::Lost, this->lastCheckpoint(attempt, worker), "");
        }
    }
}

//==============================================================================
void GroupOwner::orderStops(TickContext &context)
{
    for (auto &[id, worker] : this->managed) {
        for (const auto &[attempt, need] : worker.ledger.attempts()) {
            if (context.jobs.isCancelled(attempt.task.job)) {
                this->orderStop(attempt, worker, Outcome::Cancelled, context.now);
            }
        }
        if (worker.isLeaving()) {
            this->drain(context, worker);
        }
        for (auto &[attempt, order] : worker.stops) {
            if (context.now - order.since >= this->durations.checkpointWait) {
                order.awaitingCheckpoint = false;
            }
            const bool unconfirmedStop = order.sent && !this->guards.stopConfirmed;
            if (unconfirmedStop && this->state().isOpen(attempt)) {
                this->queueEnd(attempt, order.reason, this->lastCheckpoint(attempt, worker), "");
            }
        }
    }
}

/** Moves services and watchers before batch tasks, as callers depend on their answers. */
void GroupOwner::drain(TickContext &context, ManagedWorker &worker)
{
    for (const bool batch : { false, true }) {
        for (const auto &[attempt, need] : worker.ledger.attempts()) {
            const TaskState *task = this->state().find(attempt.task);
            const bool isBatch = task != nullptr && task->kind == TaskKind::Batch;
            if (worker.stops.size() < drainBudget && isBatch == batch) {
                this->orderStop(attempt, worker, Outcome::Evicted, context.now);
            }
        }
    }
}

void GroupOwner::orderStop(const AttemptId &attempt, ManagedWorker &worker, Outcome reason,
                           Instant now)
{
    if (!this->state().isOpen(attempt)) {
        return;
    }
    const auto [order, isNew] = worker.stops.try_emplace(attempt);
    if (isNew) {
        order->second = { reason, now, reason == Outcome::Evicted, false };
    } else if (reason == Outcome::Cancelled) {
        order->second.reason = reason;
        order->second.awaitingCheckpoint = false;
    }
}

void GroupOwner::evict(const TaskId &task, Instant now)
{
    const TaskState *state = this->state().find(task);
    if (this->currentPhase == Phase::Owning && state != nullptr && state->open) {
        this->orderStop({ task, state->lastAttempt }, this->managed[state->worker],
                        Outcome::Evicted, now);
    }
}

void GroupOwner::throttle(const TaskId &task, std::int64_t percent)
{
    const TaskState *state = this->state().find(task);
    if (this->currentPhase == Phase::Owning && state != nullptr && state->open) {
        this->managed[state->worker].throttles[{ task, state->lastAttempt }] = percent;
    }
}

} // namespace bulrush
