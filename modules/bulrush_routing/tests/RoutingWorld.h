#pragma once

#include "FakeExecutors.h"

#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <memory>

namespace bulrush::routing {

/**
    The router of one node with fake executors and callers, driven by a manual clock.

    Checked in every scenario; a step throws Error if one of these does not hold:
    - Each caller receives at most one outcome.
    - A complete answer consists of the parts of the caller's own request, in order.
    - A request with the outcome "not run" did not run.
    - A non-idempotent request runs at most once.
*/
class RoutingWorld
{
public:
    RoutingWorld();

    /** Binds the verbs of the scenario scripts. */
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
    void submitRequest(std::uint64_t number, const scenario::Step &step);
    void submitRequests(const scenario::Step &step);
    void expectRetrySpread(const scenario::Step &step) const;
    void expectEach(const scenario::Step &step) const;

    void advance(Duration span);
    void executeActions();
    void recordAnswer(const Answer &answer);
    static std::string wholeBody(const Caller &caller);
    const Caller &callerOf(const scenario::Step &step) const;

    ManualClock clock;
    Router router;
    FakeExecutors executors;
    std::map<RequestId, Caller> callers;
    std::map<std::string, std::size_t> marks;
};

} // namespace bulrush::routing
