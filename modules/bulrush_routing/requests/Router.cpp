#include "bulrush_routing/requests/Router.h"

#include "bulrush_core/errors/Error.h"

#include <utility>

namespace bulrush::routing {

Router::Router(const RouterSettings &settings)
    : targets(settings.dataCentre)
    , chooser(settings.strategy)
    , random(settings.seed)
    , hedging(settings.hedging)
{
}

//==============================================================================
void Router::putTarget(const TargetSettings &settings)
{
    const bool known = this->targets.hasEntry(settings.id);
    const TargetIndex index = this->targets.put(settings);
    if (!known) {
        this->pool.reset(index);
        this->ejector.reset(index);
    }
    this->pool.resize(index, settings.connections);
}

void Router::removeTarget(const TargetId &id)
{
    if (const auto index = this->targets.find(id)) {
        this->pool.resize(*index, 0);
        this->targets.remove(id);
    }
}

void Router::setLeaving(const TargetId &id, LeavingSource source, bool leaving, Instant now)
{
    if (const auto index = this->targets.find(id)) {
        this->targets.setLeaving(*index, source, leaving, now);
    }
}

void Router::setReachable(const DataCentreId &id, bool reachable)
{
    this->targets.setReachable(id, reachable);
}

void Router::setOneWayDelay(const DataCentreId &id, Duration oneWay)
{
    this->targets.setOneWayDelay(id, oneWay);
}

//==============================================================================
void Router::arrived(const Request &request, Instant now)
{
    const auto [entry, added] = this->pendingRequests.try_emplace(request.id);
    if (!added) {
        throw Error("accept request", std::to_string(static_cast<std::uint64_t>(request.id)),
                    "the id is already in use");
    }
    PendingRequest &pending = entry->second;
    pending.request = request;
    ++this->totals.arrived;
    this->budget.deposit();
    if (this->draining || request.deadline <= now || !this->targets.hasUsable()) {
        this->finishWithoutAnswer(pending, now);
        return;
    }
    this->timers.add(request.deadline, DeadlineTimer { request.id });
    this->sendOrQueue(pending, now);
}

void Router::callerDisconnected(RequestId id, Instant now)
{
    PendingRequest *pending = this->findPending(id);
    if (pending == nullptr) {
        return;
    }
    while (!pending->openAttempts.empty()) {
        this->abandon(*pending, pending->openAttempts.back(), now);
    }
    this->leaveQueue(*pending);
    this->pendingRequests.erase(id);
    this->dispatch(now);
}

void Router::sendFailedBeforeAnyByte(AttemptId id, Instant now)
{
    const Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr) {
        return;
    }
    // Once sending has started, the attempt counts as lost whatever the caller of this function
    // assumes, because the request may have run.
    this->endAttempt(id, attempt->sendStarted ? AttemptEnd::Lost : AttemptEnd::Unsent, now);
}

void Router::sendStarted(AttemptId id)
{
    if (Attempt *attempt = this->findAttempt(id)) {
        attempt->sendStarted = true;
    }
}

void Router::refusedBeforeStart(AttemptId id, const TargetReport &report, Instant now)
{
    const Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr) {
        return;
    }
    const TargetIndex target = attempt->target;
    this->targets.recordReport(target, report, now);
    const bool isFull = report.load && *report.load >= this->targets.at(target).slots;
    if (!isFull && !report.leaving) {
        // A target that refuses requests although it has capacity appears idle and would attract
        // more and more requests.
        this->ejector.recordFailure(this->targets, target, now);
    }
    this->endAttempt(id, AttemptEnd::RefusedBeforeStart, now);
}

std::optional<RequestId> Router::answerHead(AttemptId id, const AnswerHead &head, Instant now)
{
    Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    attempt->hasHead = true;
    attempt->lastActivityAt = now;
    this->targets.recordReport(attempt->target, head.report, now);
    if (head.serverError) {
        this->ejector.recordFailure(this->targets, attempt->target, now);
    } else {
        this->ejector.recordSuccess(this->targets, attempt->target);
    }
    PendingRequest &pending = *this->findPending(attempt->request);
    const std::vector<AttemptId> openAttempts = pending.openAttempts;
    for (const AttemptId other : openAttempts) {
        if (other != id) {
            this->abandon(pending, other, now);
        }
    }
    return pending.request.id;
}

std::optional<RequestId> Router::answerBody(AttemptId id, Instant now)
{
    Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    attempt->lastActivityAt = now;
    return attempt->request;
}

void Router::answerForwarded(RequestId id)
{
    if (PendingRequest *pending = this->findPending(id)) {
        pending->forwarded = true;
    }
}

void Router::answerComplete(AttemptId id, Instant now)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    this->targets.endRequest(attempt.target);
    this->targets.recordAnswerTime(attempt.target, now - attempt.sentAt);
    this->hedgePolicy.recordAnswerTime(now - attempt.sentAt);
    this->admission.recordCompletion(now);
    this->pool.release(attempt.target, attempt.connection, now);
    std::erase(this->findPending(attempt.request)->openAttempts, id);
    this->finish(attempt.request, Outcome::Answered, now);
}

void Router::attemptLost(AttemptId id, Instant now)
{
    this->endAttempt(id, AttemptEnd::Lost, now);
}

void Router::idleConnectionClosed(const TargetId &target, ConnectionIndex connection)
{
    if (const auto index = this->targets.find(target)) {
        this->pool.markClosed(*index, connection);
    }
}

//==============================================================================
Instant Router::nextDue() const
{
    const auto due = this->timers.nextDue();
    return due ? std::min(*due, this->housekeepingDue) : this->housekeepingDue;
}

std::vector<Action> Router::takeActions()
{
    return std::exchange(this->actions, {});
}

PendingRequest *Router::findPending(RequestId id)
{
    const auto found = this->pendingRequests.find(id);
    return found == this->pendingRequests.end() ? nullptr : &found->second;
}

Attempt *Router::findAttempt(AttemptId id)
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second;
}

} // namespace bulrush::routing
