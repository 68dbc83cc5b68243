#pragma once

#include "bulrush_routing/admission/Admission.h"
#include "bulrush_routing/budgets/HedgePolicy.h"
#include "bulrush_routing/budgets/OutlierEjector.h"
#include "bulrush_routing/budgets/RetryBudget.h"
#include "bulrush_routing/choice/TargetChooser.h"
#include "bulrush_routing/requests/Action.h"
#include "bulrush_routing/requests/RequestRun.h"
#include "bulrush_routing/requests/TimerQueue.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bulrush::routing {

/** How a router is set up. */
struct RouterSettings
{
    DataCentreId dataCentre;
    StrategyKind strategy = StrategyKind::Product;
    bool hedging = true;
    std::uint64_t seed = 1;
};

/** Counts since the start. */
struct RouterCounts
{
    std::uint64_t arrived = 0;
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** One an Outcome. */
    std::array<std::uint64_t, 4> outcomes {};
};

/**
    Takes each caller's request from arrival to its one Answer.

    The user feeds in what happens, calls tick() at nextDue(), and after each input carries out
    takeActions() in order before anything else. It calls bytesLeft() before the first byte of an
    attempt is handed to a socket, and writes nothing of an attempt after its Abandon; "not run"
    rests on both. Events of attempts that ended are ignored.
*/
class Router
{
public:
    explicit Router(const RouterSettings &settings);

    //==============================================================================
    /** Adds a target or changes its declared size or connection share. */
    void putTarget(const TargetSettings &settings);

    /** Gives a target no new request any more; requests in flight on it finish. */
    void removeTarget(const TargetId &id);

    /** Notes that a source calls a target leaving, or no longer does. */
    void setLeaving(const TargetId &id, LeavingSource source, bool leaving, Instant now);

    /** Notes whether a data centre is in reach. */
    void setReachable(const DataCentreId &id, bool reachable);

    /** Notes the measured time one way to a data centre. */
    void setOneWay(const DataCentreId &id, Duration oneWay);

    /** Takes no new request any more; accepted ones finish. */
    void drain() { this->draining = true; }

    //==============================================================================
    /** A caller's request is here whole. @throws Error when its id is in use */
    void arrived(const Request &request, Instant now);

    /** The caller went away; nothing is answered. */
    void callerGone(RequestId id, Instant now);

    /** The attempt's connection could not be opened, or closed before any byte was written. */
    void sendFailedBeforeAnyByte(AttemptId id, Instant now);

    /** The attempt's first byte is about to be written. */
    void bytesLeft(AttemptId id);

    /** The target said that it did not start the request. Its connection stays usable. */
    void refusedUnstarted(AttemptId id, const TargetReport &report, Instant now);

    /** The head of an answer came in. @returns the request that it belongs to, or nothing when
        it has to be dropped */
    std::optional<RequestId> answerHead(AttemptId id, const AnswerHead &head, Instant now);

    /** A part of an answer's body came in. @returns as answerHead() */
    std::optional<RequestId> answerBody(AttemptId id, Instant now);

    /** The first part of the answer is about to be written to the caller. */
    void answerForwarded(RequestId id);

    /** The answer is whole. */
    void answerComplete(AttemptId id, Instant now);

    /** The attempt's connection closed, or the answer was cut off. */
    void attemptLost(AttemptId id, Instant now);

    /** An idle connection closed. */
    void idleConnectionClosed(const TargetId &target, ConnectionIndex connection);

    /** Does what is due. */
    void tick(Instant now);

    //==============================================================================
    /** Returns when tick() is next to be called. */
    Instant nextDue() const;

    /** Takes the actions to carry out, in order. */
    std::vector<Action> takeActions();

    /** Returns whether no request is open. */
    bool isIdle() const { return this->runs.empty(); }

    const TargetTable &targetTable() const { return this->targets; }
    const RouterCounts &counts() const { return this->totals; }

private:
    struct TimerHandler;

    RequestRun *runOf(RequestId id);
    Attempt *attemptOf(AttemptId id);

    bool trySend(RequestRun &run, Instant now);
    std::optional<TargetIndex> choose(const RequestRun &run, Instant now);
    bool send(RequestRun &run, TargetIndex target, Instant now);
    void place(RequestRun &run, Instant now);
    void enqueue(RequestRun &run, Instant now);
    void dispatch(Instant now);
    void leaveQueue(RequestRun &run);

    void endAttempt(AttemptId id, AttemptEnd end, Instant now);
    void retryOrFinish(RequestRun &run, Instant now);
    void abandon(RequestRun &run, AttemptId id, Instant now);
    void giveUp(RequestRun &run, Instant now);
    void finish(RequestId id, Outcome outcome, Instant now);

    void expireDeadline(RequestId id, Instant now);
    void expireWait(RequestId id, Instant now);
    void checkSilence(AttemptId id, Instant now);
    void hedge(AttemptId id, Instant now);
    void closeIdle(const std::vector<StaleConnection> &connections);
    void housekeep(Instant now);

    TargetTable targets;
    TargetChooser chooser;
    ConnectionPool pool;
    Admission admission;
    RetryBudget budget;
    OutlierEjector ejector;
    HedgePolicy hedgePolicy;
    TimerQueue timers;
    std::mt19937_64 random;

    std::unordered_map<RequestId, RequestRun> runs;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::vector<Action> actions;
    RouterCounts totals;
    std::uint64_t lastAttempt = 0;
    Instant housekeepingDue {};
    bool hedging;
    bool draining = false;
};

} // namespace bulrush::routing
