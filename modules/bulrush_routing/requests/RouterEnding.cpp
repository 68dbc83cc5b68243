#include "bulrush_routing/requests/Router.h"

namespace bulrush::routing {

namespace {

/** Interval of the checks of idle connections, ejections and targets' reports of leaving. */
constexpr Duration housekeepingPeriod = milliseconds(100);

} // namespace

void Router::endAttempt(AttemptId id, AttemptEnd end, Instant now)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
        return;
    }
    const Attempt attempt = found->second;
    this->attempts.erase(found);
    this->targets.endRequest(attempt.target);
    if (end == AttemptEnd::RefusedBeforeStart) {
        this->pool.release(attempt.target, attempt.connection, now);
    } else {
        this->pool.markClosed(attempt.target, attempt.connection);
        this->ejector.recordFailure(this->targets, attempt.target, now);
    }
    PendingRequest &pending = *this->findPending(attempt.request);
    pending.recordEnd(id, attempt, end);
    if (pending.openAttempts.empty()) {
        this->retryOrFinish(pending, now);
    }
    this->dispatch(now);
}

void Router::retryOrFinish(PendingRequest &pending, Instant now)
{
    if (!pending.canRetry(now) || !this->budget.tryWithdraw()) {
        this->finishWithoutAnswer(pending, now);
        return;
    }
    ++this->totals.retries;
    this->sendOrQueue(pending, now);
}

void Router::abandon(PendingRequest &pending, AttemptId id, Instant now)
{
    const Attempt attempt = this->attempts.at(id);
    this->attempts.erase(id);
    std::erase(pending.openAttempts, id);
    pending.mayHaveRun |= attempt.sendStarted;
    this->targets.endRequest(attempt.target);
    // A lower bound: the answer would have taken at least this long.
    this->targets.recordAnswerTime(attempt.target, now - attempt.sentAt);
    this->pool.markClosed(attempt.target, attempt.connection);
    const TargetId &target = this->targets.at(attempt.target).id;
    this->actions.emplace_back(Abandon { id, target, attempt.connection });
}

void Router::finishWithoutAnswer(PendingRequest &pending, Instant now)
{
    while (!pending.openAttempts.empty()) {
        this->abandon(pending, pending.openAttempts.back(), now);
    }
    this->leaveQueue(pending);
    this->finish(pending.request.id, pending.outcomeWithoutAnswer(), now);
}

void Router::finish(RequestId id, Outcome outcome, Instant now)
{
    Duration retryAfter {};
    if (outcome == Outcome::NotRun) {
        retryAfter = this->admission.retryAfter(now, this->random);
    }
    ++this->totals.outcomes[static_cast<std::size_t>(outcome)];
    this->pendingRequests.erase(id);
    this->actions.emplace_back(Answer { id, outcome, retryAfter });
    if (outcome == Outcome::Answered) {
        this->dispatch(now);
    }
}

//==============================================================================
/** Calls the member function that handles a type of timer. */
struct Router::TimerHandler
{
    Router &router;
    Instant now;

    void operator()(const DeadlineTimer &timer) const
    {
        this->router.expireDeadline(timer.request, this->now);
    }
    void operator()(const QueueTimer &timer) const
    {
        this->router.expireQueueWait(timer.request, this->now);
    }
    void operator()(const InactivityTimer &timer) const
    {
        this->router.checkInactivity(timer.attempt, this->now);
    }
    void operator()(const HedgeTimer &timer) const
    {
        this->router.sendHedge(timer.attempt, this->now);
    }
};

void Router::tick(Instant now)
{
    while (const auto timer = this->timers.take(now)) {
        std::visit(TimerHandler { *this, now }, *timer);
    }
    if (this->housekeepingDue <= now) {
        this->housekeep(now);
    }
    this->dispatch(now);
}

void Router::expireDeadline(RequestId id, Instant now)
{
    if (PendingRequest *pending = this->findPending(id)) {
        this->finishWithoutAnswer(*pending, now);
    }
}

void Router::expireQueueWait(RequestId id, Instant now)
{
    PendingRequest *pending = this->findPending(id);
    if (pending != nullptr && pending->queued && now - pending->queuedAt >= Admission::maxWait) {
        this->finishWithoutAnswer(*pending, now);
    }
}

void Router::checkInactivity(AttemptId id, Instant now)
{
    const Attempt *attempt = this->findAttempt(id);
    if (attempt == nullptr) {
        return;
    }
    const Instant due = attempt->lastActivityAt
            + this->findPending(attempt->request)->request.inactivityTimeout;
    if (due > now) {
        this->timers.add(due, InactivityTimer { id });
        return;
    }
    this->actions.emplace_back(
            Abandon { id, this->targets.at(attempt->target).id, attempt->connection });
    this->closeIdle(this->pool.takeUnverifiedSince(attempt->target, attempt->sentAt));
    this->endAttempt(id, AttemptEnd::Lost, now);
}

void Router::housekeep(Instant now)
{
    this->targets.expireSelfReports(now);
    this->ejector.tick(this->targets, now);
    this->closeIdle(this->pool.takeStale(now));
    this->housekeepingDue = now + housekeepingPeriod;
}

void Router::closeIdle(const std::vector<StaleConnection> &connections)
{
    for (const StaleConnection &stale : connections) {
        const TargetId &target = this->targets.at(stale.target).id;
        this->actions.emplace_back(CloseIdle { target, stale.connection });
    }
}

} // namespace bulrush::routing
