#include "bulrush_routing/requests/Router.h"

namespace bulrush::routing {

namespace {

/** How often idle connections, ejections and own words are looked through. */
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
    if (end == AttemptEnd::RefusedUnstarted) {
        this->pool.release(attempt.target, attempt.connection, now);
    } else {
        this->pool.closed(attempt.target, attempt.connection);
        this->ejector.noteFailure(this->targets, attempt.target, now);
    }
    RequestRun &run = *this->runOf(attempt.request);
    run.noteEnd(id, attempt, end);
    if (run.open.empty()) {
        this->retryOrFinish(run, now);
    }
    this->dispatch(now);
}

void Router::retryOrFinish(RequestRun &run, Instant now)
{
    if (!run.mayRetry(now) || !this->budget.spend()) {
        this->giveUp(run, now);
        return;
    }
    ++this->totals.retries;
    this->place(run, now);
}

void Router::abandon(RequestRun &run, AttemptId id, Instant now)
{
    const Attempt attempt = this->attempts.at(id);
    this->attempts.erase(id);
    std::erase(run.open, id);
    run.mayHaveRun |= attempt.bytesLeft;
    this->targets.endRequest(attempt.target);
    // The answer would have taken at least this long.
    this->targets.noteAnswerTime(attempt.target, now - attempt.sentAt);
    this->pool.closed(attempt.target, attempt.connection);
    const TargetId &target = this->targets.at(attempt.target).id;
    this->actions.emplace_back(Abandon { id, target, attempt.connection });
}

void Router::giveUp(RequestRun &run, Instant now)
{
    while (!run.open.empty()) {
        this->abandon(run, run.open.back(), now);
    }
    this->leaveQueue(run);
    this->finish(run.request.id, run.outcomeWithoutAnswer(), now);
}

void Router::finish(RequestId id, Outcome outcome, Instant now)
{
    Duration retryAfter {};
    if (outcome == Outcome::NotRun) {
        retryAfter = this->admission.retryAfter(now, this->random);
    }
    ++this->totals.outcomes[static_cast<std::size_t>(outcome)];
    this->runs.erase(id);
    this->actions.emplace_back(Answer { id, outcome, retryAfter });
    if (outcome == Outcome::Answered) {
        this->dispatch(now);
    }
}

//==============================================================================
/** Calls the member that handles a kind of timer. */
struct Router::TimerHandler
{
    Router &router;
    Instant now;

    void operator()(const DeadlineTimer &timer) const
    {
        this->router.expireDeadline(timer.request, this->now);
    }
    void operator()(const WaitTimer &timer) const
    {
        this->router.expireWait(timer.request, this->now);
    }
    void operator()(const SilenceTimer &timer) const
    {
        this->router.checkSilence(timer.attempt, this->now);
    }
    void operator()(const HedgeTimer &timer) const { this->router.hedge(timer.attempt, this->now); }
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
    if (RequestRun *run = this->runOf(id)) {
        this->giveUp(*run, now);
    }
}

void Router::expireWait(RequestId id, Instant now)
{
    RequestRun *run = this->runOf(id);
    if (run != nullptr && run->queued && now - run->queuedAt >= Admission::longestWait) {
        this->giveUp(*run, now);
    }
}

void Router::checkSilence(AttemptId id, Instant now)
{
    const Attempt *attempt = this->attemptOf(id);
    if (attempt == nullptr) {
        return;
    }
    const Instant due = attempt->progressAt + this->runOf(attempt->request)->request.silenceBound;
    if (due > now) {
        this->timers.add(due, SilenceTimer { id });
        return;
    }
    this->actions.emplace_back(
            Abandon { id, this->targets.at(attempt->target).id, attempt->connection });
    this->closeIdle(this->pool.takeUnprovenSince(attempt->target, attempt->sentAt));
    this->endAttempt(id, AttemptEnd::Lost, now);
}

void Router::housekeep(Instant now)
{
    this->targets.expireOwnWords(now);
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
