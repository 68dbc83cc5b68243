#pragma once

#include "bulrush_routing/bulrush_routing.h"

#include "bulrush_core/time/PausableClock.h"

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
        /** Says that it did not start the request. */
        Refuse,
        /** Takes no connection. */
        Unreachable,
        /** Lets the connection hang while it is opened; no byte leaves. */
        HangConnect,
        /** Runs the request and closes without an answer. */
        Close,
        /** Runs the request and closes in the middle of the answer. */
        Cut,
        /** Runs the request; nothing comes back on this connection any more. */
        Silent,
        /** One of the others, drawn for each request. */
        Mixed,
    };

    Kind kind = Kind::Answer;
    Duration after = milliseconds(5);
    Duration gap = microseconds(200);
    std::size_t parts = 1;
    bool leaving = false;
};

/** Returns the behaviour of a name. @throws Error when there is none */
Behaviour::Kind behaviourNamed(std::string_view name);

/** Returns the part of the whole answer that a request gets, told apart by its number. */
std::string answerPart(RequestId request, std::size_t part);

/** Executors behind connections that carry one request at a time; events follow the clock. */
class FakeExecutors
{
public:
    /** Called with each part that has to go to a caller. */
    using Forward = std::function<void(RequestId, const std::string &)>;

    FakeExecutors(Router &routerToFeed, PausableClock &sharedClock, Forward forwardToCaller);

    void setBehaviour(const std::string &target, const Behaviour &behaviour);

    /** Lets one open connection swallow everything for good. */
    void silence(const std::string &target, ConnectionIndex connection);

    /** Does what the router asks for. @throws Error when a connection is used twice at once */
    void carryOut(const Send &send);
    void carryOut(const Abandon &abandon);
    void carryOut(const CloseIdle &close);

    /** Returns when the next event is due. */
    std::optional<Instant> nextDue() const;

    /** Runs the next event. */
    void runNext();

    unsigned runsOf(RequestId request) const;
    std::size_t sendsTo(const std::string &target) const;
    const std::vector<Send> &sends() const { return this->sent; }

private:
    using Link = std::pair<std::string, ConnectionIndex>;

    void at(Duration delay, std::function<void()> event);
    void answer(const Send &send, const Behaviour &behaviour, std::size_t parts, bool whole);
    void perform(const Send &send, const Behaviour &behaviour);
    Behaviour drawn();
    void freeLink(const Send &send);

    Router &router;
    PausableClock &clock;
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
