#pragma once

#include "FakeExecutors.h"

#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <memory>

namespace bulrush::routing {

/**
    One node's router, fake executors and callers under a paused clock.

    Whatever a script does, each caller gets one outcome, a whole answer is the caller's own, "not
    run" is true, and a non-idempotent request runs at most once; a step throws Error otherwise.
*/
class RoutingWorld
{
public:
    RoutingWorld();

    /** Binds the verbs of the scenarios to this world. */
    void bindTo(scenario::Interpreter &interpreter);

private:
    struct Caller
    {
        Request request;
        Instant arrivedAt {};
        Instant endedAt {};
        std::string body;
        std::optional<Answer> answer;
    };

    void bindSetup(scenario::Interpreter &interpreter);
    void bindRequests(scenario::Interpreter &interpreter);
    void bindExpectations(scenario::Interpreter &interpreter);

    void addTarget(const scenario::Step &step);
    void behave(const scenario::Step &step);
    void arrive(std::uint64_t number, const scenario::Step &step);
    void arriveMany(const scenario::Step &step);
    void expectRetrySpread(const scenario::Step &step) const;
    void expectEach(const scenario::Step &step) const;

    void advance(Duration span);
    void pump();
    void end(const Answer &answer);
    static std::string wholeBody(const Caller &caller);
    const Caller &callerOf(const scenario::Step &step) const;

    PausableClock clock;
    Router router;
    FakeExecutors executors;
    std::map<RequestId, Caller> callers;
    std::map<std::string, std::size_t> marks;
};

} // namespace bulrush::routing
