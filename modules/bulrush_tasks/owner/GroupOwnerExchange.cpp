#include "bulrush_tasks/owner/GroupOwner.h"

#include <limits>

namespace bulrush {

void GroupOwner::sendExchanges(TickContext &context)
{
    for (auto &[id, worker] : this->managed) {
        const Duration waited = context.now - worker.sentAt;
        if (worker.inFlight && waited > this->durations.exchangeTimeout) {
            worker.inFlight = false;
        }
        const bool due = !worker.exchangeSent || waited >= this->durations.exchangePeriod
                || this->needsPromptExchange(worker);
        if (!worker.inFlight && due) {
            context.actions.emplace_back(
                    ExchangeAction { id, this->createRequest(worker, id, context) });
        }
    }
}

/** Starts and stops that were not sent yet do not wait for the exchange period. Neither do renewals
    by a new owner: its first exchange only fetches the inventory and cannot renew any lease. */
bool GroupOwner::needsPromptExchange(const ManagedWorker &worker) const
{
    if (worker.ledger.isKnown() && !worker.renewalSent) {
        return true;
    }
    for (const auto &[attempt, order] : worker.stops) {
        if (!order.sent) {
            return true;
        }
    }
    for (const auto &[attempt, need] : worker.ledger.attempts()) {
        if (this->isStartable(attempt, worker) && !worker.started.contains(attempt)) {
            return true;
        }
    }
    return false;
}

bool GroupOwner::isStartable(const AttemptId &attempt, const ManagedWorker &worker) const
{
    if (worker.inventory.contains(attempt) || worker.stops.contains(attempt)
        || this->queuedEnds.contains(attempt)) {
        return false;
    }
    if (this->unconfirmed.contains(attempt)) {
        return !this->guards.startAfterReadBack;
    }
    return worker.ledger.isKnown() && this->state().isOpen(attempt)
            && this->state().find(attempt.task)->epoch == this->ownEpoch;
}

ExchangeRequest GroupOwner::createRequest(ManagedWorker &worker, const VmId &id,
                                          const TickContext &context)
{
    ExchangeRequest request;
    request.node = this->identity.node;
    request.group = this->identity.group;
    request.epoch = this->ownEpoch;
    request.sequence = ++worker.sequence;
    request.incarnation = worker.clock.incarnation();
    const bool leaseAllowed =
            mayGrantLease(context.view, id, this->durations, context.now, this->guards);
    if (!this->guards.boundedValidity) {
        request.validUntilMs = std::numeric_limits<std::int64_t>::max();
    } else if (leaseAllowed) {
        request.validUntilMs = worker.clock.validUntilMs(context.now, this->durations.transit);
    }
    worker.renewalSent = worker.ledger.isKnown();
    this->addCommands(request, worker, id, leaseAllowed);
    this->addStops(request, worker);
    worker.inFlight = true;
    worker.exchangeSent = true;
    worker.sentAt = context.now;
    return request;
}

void GroupOwner::addCommands(ExchangeRequest &request, ManagedWorker &worker, const VmId & /*id*/,
                             bool leaseAllowed)
{
    const std::int64_t leaseMs = duration_cast<milliseconds>(this->durations.lease).count();
    for (const auto &[attempt, item] : worker.inventory) {
        const bool running = item.state == AttemptState::Running;
        const bool known = this->state().isOpen(attempt) || this->unconfirmed.contains(attempt);
        if (running && known && leaseAllowed) {
            request.renewals.push_back({ attempt, leaseMs });
        } else if (running && !known) {
            request.stops.push_back(attempt);
        } else if (!running && (!known || !this->guards.endBeforeForget)) {
            request.forgets.push_back(attempt);
        }
    }
    for (const auto &[attempt, need] : worker.ledger.attempts()) {
        if (!leaseAllowed || !this->isStartable(attempt, worker)) {
            continue;
        }
        const auto queued = this->unconfirmed.find(attempt);
        if (queued != this->unconfirmed.end()) {
            const IntentRecord &intent = queued->second;
            request.starts.push_back({ attempt, intent.kind, intent.need, leaseMs, intent.runMs,
                                       intent.checkpoint });
        } else {
            const TaskState &task = *this->state().find(attempt.task);
            request.starts.push_back(
                    { attempt, task.kind, task.need, leaseMs, task.runMs, task.checkpoint });
        }
        worker.started.insert(attempt);
    }
}

void GroupOwner::addStops(ExchangeRequest &request, ManagedWorker &worker)
{
    worker.checkpointsSent = false;
    for (auto &[attempt, order] : worker.stops) {
        if (order.awaitingCheckpoint) {
            request.checkpoints.push_back(attempt);
            worker.checkpointsSent = true;
        } else {
            request.stops.push_back(attempt);
            order.sent = true;
        }
    }
    for (const auto &[attempt, percent] : worker.throttles) {
        request.throttles.push_back({ attempt, percent });
    }
}

} // namespace bulrush
