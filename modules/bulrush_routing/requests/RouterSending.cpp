#include "bulrush_routing/requests/Router.h"

namespace bulrush::routing {

namespace {

/** Capacity of each target, in slots, that bulk requests leave free for interactive requests. */
constexpr double bulkReserve = 2.0;

double reserveOf(const Request &request)
{
    return request.requestClass == RequestClass::Bulk ? bulkReserve : 0;
}

} // namespace

bool Router::trySend(PendingRequest &pending, Instant now)
{
    const auto target = this->choose(pending, now);
    return target && this->send(pending, *target, now);
}

std::optional<TargetIndex> Router::choose(const PendingRequest &pending, Instant now)
{
    if (pending.avoid) {
        const ChoiceQuery elsewhere { now, pending.avoid, reserveOf(pending.request) };
        if (const auto target = this->chooser.choose(this->targets, elsewhere, this->random)) {
            return target;
        }
    }
    return this->chooser.choose(this->targets, ChoiceQuery { now, {}, reserveOf(pending.request) },
                                this->random);
}

bool Router::send(PendingRequest &pending, TargetIndex target, Instant now)
{
    const auto connection = this->pool.acquire(target, now);
    if (!connection) {
        return false;
    }
    const AttemptId id { ++this->lastAttempt };
    this->attempts.emplace(id, Attempt { pending.request.id, target, *connection, now, now });
    pending.openAttempts.push_back(id);
    this->targets.beginRequest(target);
    ++this->totals.sends;
    this->timers.add(now + pending.request.inactivityTimeout, InactivityTimer { id });
    const bool canHedge = pending.request.idempotent && !pending.hedged
            && pending.request.requestClass == RequestClass::Interactive;
    if (this->hedging && canHedge) {
        this->timers.add(now + this->hedgePolicy.delay(), HedgeTimer { id });
    }
    this->actions.emplace_back(
            Send { pending.request.id, id, this->targets.at(target).id, *connection });
    return true;
}

void Router::sendOrQueue(PendingRequest &pending, Instant now)
{
    const bool first = this->admission.waitingAhead(pending.request.requestClass) == 0;
    if (first && this->trySend(pending, now)) {
        return;
    }
    if (this->admission.decide(pending.request, now) == AdmissionDecision::Refuse) {
        this->finishWithoutAnswer(pending, now);
        return;
    }
    this->enqueue(pending, now);
}

void Router::enqueue(PendingRequest &pending, Instant now)
{
    while (const auto displaced = this->admission.displaceBulk()) {
        PendingRequest *other = this->findPending(*displaced);
        if (other != nullptr && other->queued) {
            this->finishWithoutAnswer(*other, now);
        }
    }
    pending.queued = true;
    pending.queuedAt = now;
    this->admission.push(pending.request);
    this->timers.add(now + Admission::maxWait, QueueTimer { pending.request.id });
}

void Router::dispatch(Instant now)
{
    while (const auto id = this->admission.front()) {
        PendingRequest *pending = this->findPending(*id);
        if (pending != nullptr && pending->queued) {
            if (!this->trySend(*pending, now)) {
                return;
            }
            this->leaveQueue(*pending);
        }
        this->admission.popFront();
    }
}

void Router::leaveQueue(PendingRequest &pending)
{
    if (pending.queued) {
        pending.queued = false;
        this->admission.decrementWaiting(pending.request.requestClass);
    }
}

//==============================================================================
void Router::sendHedge(AttemptId id, Instant now)
{
    const Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr || attempt->hasHead || this->admission.waiting() > 0) {
        return;
    }
    PendingRequest &pending = *this->findPending(attempt->request);
    const ChoiceQuery elsewhere { now, attempt->target };
    const auto target = this->chooser.choose(this->targets, elsewhere, this->random);
    if (pending.hedged || !target || !this->hedgePolicy.tryWithdraw(this->budget)) {
        return;
    }
    pending.hedged = true;
    ++this->totals.hedges;
    this->send(pending, *target, now);
}

} // namespace bulrush::routing
