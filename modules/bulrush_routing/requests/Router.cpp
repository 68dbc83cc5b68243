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
    const bool known = this->targets.remembers(settings.id);
    const TargetIndex index = this->targets.put(settings);
    if (!known) {
        this->pool.forget(index);
        this->ejector.forget(index);
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

void Router::setOneWay(const DataCentreId &id, Duration oneWay)
{
    this->targets.setOneWay(id, oneWay);
}

//==============================================================================
void Router::arrived(const Request &request, Instant now)
{
    const auto [entry, added] = this->runs.try_emplace(request.id);
    if (!added) {
        throw Error("take request", std::to_string(static_cast<std::uint64_t>(request.id)),
                    "the id is in use");
    }
    RequestRun &run = entry->second;
    run.request = request;
    ++this->totals.arrived;
    this->budget.earn();
    if (this->draining || request.deadline <= now || !this->targets.hasUsable()) {
        this->giveUp(run, now);
        return;
    }
    this->timers.add(request.deadline, DeadlineTimer { request.id });
    this->place(run, now);
}

void Router::callerGone(RequestId id, Instant now)
{
    RequestRun *run = this->runOf(id);
    if (run == nullptr) {
        return;
    }
    while (!run->open.empty()) {
        this->abandon(*run, run->open.back(), now);
    }
    this->leaveQueue(*run);
    this->runs.erase(id);
    this->dispatch(now);
}

void Router::sendFailedBeforeAnyByte(AttemptId id, Instant now)
{
    const Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr) {
        return;
    }
    // The caller of this function may be wrong about it only in the safe direction.
    this->endAttempt(id, attempt->bytesLeft ? AttemptEnd::Lost : AttemptEnd::Unsent, now);
}

void Router::bytesLeft(AttemptId id)
{
    if (Attempt *attempt = this->attemptOf(id)) {
        attempt->bytesLeft = true;
    }
}

void Router::refusedUnstarted(AttemptId id, const TargetReport &report, Instant now)
{
    const Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr) {
        return;
    }
    const TargetIndex target = attempt->target;
    this->targets.noteReport(target, report, now);
    const bool isFull = report.load && *report.load >= this->targets.at(target).slots;
    if (!isFull && !report.leaving) {
        // It would look idle and draw ever more requests.
        this->ejector.noteFailure(this->targets, target, now);
    }
    this->endAttempt(id, AttemptEnd::RefusedUnstarted, now);
}

std::optional<RequestId> Router::answerHead(AttemptId id, const AnswerHead &head, Instant now)
{
    Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    attempt->hasHead = true;
    attempt->progressAt = now;
    this->targets.noteReport(attempt->target, head.report, now);
    if (head.fault) {
        this->ejector.noteFailure(this->targets, attempt->target, now);
    } else {
        this->ejector.noteSuccess(this->targets, attempt->target);
    }
    RequestRun &run = *this->runOf(attempt->request);
    const std::vector<AttemptId> open = run.open;
    for (const AttemptId other : open) {
        if (other != id) {
            this->abandon(run, other, now);
        }
    }
    return run.request.id;
}

std::optional<RequestId> Router::answerBody(AttemptId id, Instant now)
{
    Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr) {
        return std::nullopt;
    }
    attempt->progressAt = now;
    return attempt->request;
}

void Router::answerForwarded(RequestId id)
{
    if (RequestRun *run = this->runOf(id)) {
        run->forwarded = true;
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
    this->targets.noteAnswerTime(attempt.target, now - attempt.sentAt);
    this->hedgePolicy.noteAnswerTime(now - attempt.sentAt);
    this->admission.noteCompletion(now);
    this->pool.release(attempt.target, attempt.connection, now);
    std::erase(this->runOf(attempt.request)->open, id);
    this->finish(attempt.request, Outcome::Answered, now);
}

void Router::attemptLost(AttemptId id, Instant now)
{
    this->endAttempt(id, AttemptEnd::Lost, now);
}

void Router::idleConnectionClosed(const TargetId &target, ConnectionIndex connection)
{
    if (const auto index = this->targets.find(target)) {
        this->pool.closed(*index, connection);
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

RequestRun *Router::runOf(RequestId id)
{
    const auto found = this->runs.find(id);
    return found == this->runs.end() ? nullptr : &found->second;
}

Attempt *Router::attemptOf(AttemptId id)
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second;
}

} // namespace bulrush::routing
