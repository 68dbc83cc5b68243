#include "bulrush_routing/requests/Router.h"

namespace bulrush::routing {

namespace {

/** Room on each target that bulk requests leave to interactive ones. */
constexpr double bulkReserve = 2.0;

double reserveOf(const Request &request)
{
    return request.requestClass == RequestClass::Bulk ? bulkReserve : 0;
}

} // namespace

bool Router::trySend(RequestRun &run, Instant now)
{
    const auto target = this->choose(run, now);
    return target && this->send(run, *target, now);
}

std::optional<TargetIndex> Router::choose(const RequestRun &run, Instant now)
{
    if (run.avoid) {
        const ChoiceQuery elsewhere { now, run.avoid, reserveOf(run.request) };
        if (const auto target = this->chooser.choose(this->targets, elsewhere, this->random)) {
            return target;
        }
    }
    return this->chooser.choose(this->targets, ChoiceQuery { now, {}, reserveOf(run.request) },
                                this->random);
}

bool Router::send(RequestRun &run, TargetIndex target, Instant now)
{
    const auto connection = this->pool.acquire(target, now);
    if (!connection) {
        return false;
    }
    const AttemptId id { ++this->lastAttempt };
    this->attempts.emplace(id, Attempt { run.request.id, target, *connection, now, now });
    run.open.push_back(id);
    this->targets.beginRequest(target);
    ++this->totals.sends;
    this->timers.add(now + run.request.silenceBound, SilenceTimer { id });
    const bool hedgeable = run.request.idempotent && !run.hedged
            && run.request.requestClass == RequestClass::Interactive;
    if (this->hedging && hedgeable) {
        this->timers.add(now + this->hedgePolicy.delay(), HedgeTimer { id });
    }
    this->actions.emplace_back(
            Send { run.request.id, id, this->targets.at(target).id, *connection });
    return true;
}

void Router::place(RequestRun &run, Instant now)
{
    const bool first = this->admission.waitingAhead(run.request.requestClass) == 0;
    if (first && this->trySend(run, now)) {
        return;
    }
    if (this->admission.decide(run.request, now) == Admit::Refuse) {
        this->giveUp(run, now);
        return;
    }
    this->enqueue(run, now);
}

void Router::enqueue(RequestRun &run, Instant now)
{
    while (const auto displaced = this->admission.displaceBulk()) {
        RequestRun *other = this->runOf(*displaced);
        if (other != nullptr && other->queued) {
            this->giveUp(*other, now);
        }
    }
    run.queued = true;
    run.queuedAt = now;
    this->admission.push(run.request);
    this->timers.add(now + Admission::longestWait, WaitTimer { run.request.id });
}

void Router::dispatch(Instant now)
{
    while (const auto id = this->admission.front()) {
        RequestRun *run = this->runOf(*id);
        if (run != nullptr && run->queued) {
            if (!this->trySend(*run, now)) {
                return;
            }
            this->leaveQueue(*run);
        }
        this->admission.popFront();
    }
}

void Router::leaveQueue(RequestRun &run)
{
    if (run.queued) {
        run.queued = false;
        this->admission.leave(run.request.requestClass);
    }
}

//==============================================================================
void Router::hedge(AttemptId id, Instant now)
{
    const Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr || attempt->hasHead || this->admission.waiting() > 0) {
        return;
    }
    RequestRun &run = *this->runOf(attempt->request);
    const ChoiceQuery elsewhere { now, attempt->target };
    const auto target = this->chooser.choose(this->targets, elsewhere, this->random);
    if (run.hedged || !target || !this->hedgePolicy.approve(this->budget)) {
        return;
    }
    run.hedged = true;
    ++this->totals.hedges;
    this->send(run, *target, now);
}

} // namespace bulrush::routing
