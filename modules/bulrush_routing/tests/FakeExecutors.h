#pragma once

#include "bulrush_routing/bulrush_routing.h"

#include "bulrush_core/time/ManualClock.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace bulrush::routing {

/** What a fake executor does with a request. */
struct Behaviour
{
    enum class Kind : std::uint8_t {
        Answer,
        /** Reports that it did not start the request. */
        Refuse,
        /** Accepts no connection. */
        Unreachable,
        /** Never completes the opening of the connection; no byte is sent. */
        HangConnect,
        /** Runs the request and closes without an answer. */
        Close,
        /** Runs the request and closes in the middle of the answer. */
        Cut,
        /** Runs the request and never sends anything on this connection again. */
        Silent,
        /** One of the other behaviours, drawn at random for each request. */
        Mixed,
    };

    Kind kind = Kind::Answer;
    Duration after = milliseconds(5);
    Duration gap = microseconds(200);
    std::size_t parts = 1;
    bool leaving = false;
};

/** Returns the behaviour with a name. @throws Error if the name is unknown */
Behaviour::Kind behaviourNamed(std::string_view name);

/** Returns one part of a request's answer. The text contains the request and the number of the
    part, so that a test detects parts of other requests and parts out of order. */
std::string answerPart(RequestId request, std::size_t part);

/** Simulated executors: the targets of the router under test. Each connection carries one request
    at a time; events occur at times of the manual clock. */
class FakeExecutors
{
public:
    /** Called with each part of an answer that is forwarded to a caller. */
    using Forward = std::function<void(RequestId, const std::string &)>;

    FakeExecutors(Router &routerToFeed, ManualClock &sharedClock, Forward forwardToCaller);

    void setBehaviour(const std::string &target, const Behaviour &behaviour);

    /** Makes a connection silent: it delivers nothing from now on until it is closed. */
    void silence(const std::string &target, ConnectionIndex connection);

    /** Execute an action of the router. @throws Error if the action conflicts with the state of the
        connection, such as two requests on it at once */
    void carryOut(const Send &send);
    void carryOut(const Abandon &abandon);
    void carryOut(const CloseIdle &close);

    /** Returns the time of the next event. */
    std::optional<Instant> nextDue() const;

    /** Runs the next event. */
    void runNext();

    unsigned runsOf(RequestId request) const;
    std::size_t sendsTo(const std::string &target) const;
    const std::vector<Send> &sends() const { return this->sent; }

private:
    using Link = std::pair<std::string, ConnectionIndex>;

    void schedule(Duration delay, std::function<void()> event);
    void answer(const Send &send, const Behaviour &behaviour, std::size_t parts, bool whole);
    void perform(const Send &send, const Behaviour &behaviour);
    Behaviour drawBehaviour();
    void releaseLink(const Send &send);

    Router &router;
    ManualClock &clock;
    Forward forward;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::string, Behaviour> behaviours;
    std::map<Link, AttemptId> busy;
    std::set<Link> silent;
    std::map<RequestId, unsigned> runs;
    std::map<std::string, unsigned> loads;
    std::vector<Send> sent;
    std::mt19937_64 random { 4 };
};

} // namespace bulrush::routing
