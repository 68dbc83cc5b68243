#pragma once

#include "bulrush_routing/admission/Admission.h"
#include "bulrush_routing/budgets/HedgePolicy.h"
#include "bulrush_routing/budgets/OutlierEjector.h"
#include "bulrush_routing/budgets/RetryBudget.h"
#include "bulrush_routing/choice/TargetChooser.h"
#include "bulrush_routing/requests/Action.h"
#include "bulrush_routing/requests/PendingRequest.h"
#include "bulrush_routing/requests/TimerQueue.h"

#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace bulrush::routing {

/** Configuration of a Router. */
struct RouterSettings
{
    DataCentreId dataCentre;
    StrategyKind strategy = StrategyKind::Product;
    bool hedging = true;
    std::uint64_t seed = 1;
};

/** Event counts since the start. */
struct RouterCounts
{
    std::uint64_t arrived = 0;
    std::uint64_t sends = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    /** Number of ended requests, indexed by Outcome. */
    std::array<std::uint64_t, 4> outcomes {};
};

/**
    Routes each caller's request from its arrival to its single Answer.

    The user reports events, calls tick() at nextDue(), and after each of these calls executes the
    actions of takeActions() in order before any other call. It calls sendStarted() before the first
    byte of an attempt is passed to a socket and writes no byte of an attempt after its Abandon;
    Outcome::NotRun is only correct if both hold. Events of attempts that have ended are ignored.
*/
class Router
{
public:
    explicit Router(const RouterSettings &settings);

    //==============================================================================
    /** Adds a target or changes its declared slots or connection share. */
    void putTarget(const TargetSettings &settings);

    /** Removes a target: it receives no new requests, and requests in flight on it finish. */
    void removeTarget(const TargetId &id);

    /** Sets whether a source reports a target as leaving. */
    void setLeaving(const TargetId &id, LeavingSource source, bool leaving, Instant now);

    /** Sets whether a data centre is reachable. */
    void setReachable(const DataCentreId &id, bool reachable);

    /** Sets the measured one-way network delay to a data centre. */
    void setOneWayDelay(const DataCentreId &id, Duration oneWay);

    /** Refuses new requests from now on; accepted requests finish. */
    void drain() { this->draining = true; }

    //==============================================================================
    /** A caller's request was received completely. @throws Error if its id is in use */
    void arrived(const Request &request, Instant now);

    /** The caller disconnected; its request ends without an Answer. */
    void callerDisconnected(RequestId id, Instant now);

    /** The connection of the attempt could not be opened, or it was closed before any byte was
        written. */
    void sendFailedBeforeAnyByte(AttemptId id, Instant now);

    /** The first byte of the attempt is about to be written. */
    void sendStarted(AttemptId id);

    /** The target reported that it did not start the request. The connection stays usable. */
    void refusedBeforeStart(AttemptId id, const TargetReport &report, Instant now);

    /** The head of an answer was received. @returns the request that it belongs to, or nothing if
        it must be discarded */
    std::optional<RequestId> answerHead(AttemptId id, const AnswerHead &head, Instant now);

    /** A part of the body of an answer was received. @returns as answerHead() */
    std::optional<RequestId> answerBody(AttemptId id, Instant now);

    /** The first part of an answer is about to be written to the caller. */
    void answerForwarded(RequestId id);

    /** The answer was received completely. */
    void answerComplete(AttemptId id, Instant now);

    /** The connection of the attempt was closed, or the answer was cut off. */
    void attemptLost(AttemptId id, Instant now);

    /** An idle connection was closed. */
    void idleConnectionClosed(const TargetId &target, ConnectionIndex connection);

    /** Handles expired timers and periodic work. */
    void tick(Instant now);

    //==============================================================================
    /** Returns the time at which tick() must be called next. */
    Instant nextDue() const;

    /** Returns and clears the actions to execute, in order. */
    std::vector<Action> takeActions();

    /** Returns whether no request is pending. */
    bool isIdle() const { return this->pendingRequests.empty(); }

    const TargetTable &targetTable() const { return this->targets; }
    const RouterCounts &counts() const { return this->totals; }

private:
    struct TimerHandler;

    PendingRequest *findPending(RequestId id);
    Attempt *findAttempt(AttemptId id);

    bool trySend(PendingRequest &pending, Instant now);
    std::optional<TargetIndex> choose(const PendingRequest &pending, Instant now);
    bool send(PendingRequest &pending, TargetIndex target, Instant now);
    void sendOrQueue(PendingRequest &pending, Instant now);
    void enqueue(PendingRequest &pending, Instant now);
    void dispatch(Instant now);
    void leaveQueue(PendingRequest &pending);

    void endAttempt(AttemptId id, AttemptEnd end, Instant now);
    void retryOrFinish(PendingRequest &pending, Instant now);
    void abandon(PendingRequest &pending, AttemptId id, Instant now);
    void finishWithoutAnswer(PendingRequest &pending, Instant now);
    void finish(RequestId id, Outcome outcome, Instant now);

    void expireDeadline(RequestId id, Instant now);
    void expireQueueWait(RequestId id, Instant now);
    void checkInactivity(AttemptId id, Instant now);
    void sendHedge(AttemptId id, Instant now);
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

    std::unordered_map<RequestId, PendingRequest> pendingRequests;
    std::unordered_map<AttemptId, Attempt> attempts;
    std::vector<Action> actions;
    RouterCounts totals;
    std::uint64_t lastAttempt = 0;
    Instant housekeepingDue {};
    bool hedging;
    bool draining = false;
};

} // namespace bulrush::routing
