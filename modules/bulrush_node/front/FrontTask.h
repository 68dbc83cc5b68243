#pragma once

#include "bulrush_net/bulrush_net.h"
#include "bulrush_node/front/RequestHead.h"
#include "bulrush_node/front/ServiceRoutes.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_node/metrics/NodeMetrics.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bulrush {

/** Settings of the front task. */
struct FrontSettings
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint callers;
    HttpServer::Limits serverLimits;
    std::size_t answerBytes = 16U << 20U;
    routing::StrategyKind strategy = routing::StrategyKind::Product;
};

/**
    Serves callers: receives complete requests, lets the router of each service choose targets, and
    returns complete answers. Owns the sockets to callers and targets, runs on the thread of one
    event loop, and receives all other information by messages.
*/
class FrontTask : private HttpServer::Listener, private HttpClient::Listener
{
public:
    /** @param report called on the loop's thread with messages to the control task */
    FrontTask(EventLoop &loop, const Clock &clock, const FrontSettings &settings,
              NodeMetrics &metrics, EventLog &events, std::function<void(FrontReport)> report);

    FrontTask(const FrontTask &) = delete;
    FrontTask &operator=(const FrontTask &) = delete;

    /** Handles a message from the control task. */
    void handle(FrontMessage message);

private:
    /** A caller's request that is not yet answered. */
    struct Arrival
    {
        HttpRequest request;
        RequestHead head;
        Instant arrivedAt {};
        Instant deadline {};
        /** The complete answer of a target, stored until the router decides to send it. */
        std::optional<HttpResponse> answer;
        EventLoop::TimerId keyTimer = 0;
        bool holdsKey = false;
    };

    // Callers.
    void requestArrived(HttpServer::RequestId id, HttpRequest request) override;
    void clientDisconnected(HttpServer::RequestId id) override;
    void serve(ArrivalId id, HttpRequest request);
    void answerProbe(ArrivalId id, const HttpRequest &request);
    void claimKey(ArrivalId id, Arrival &arrival);
    void keyTimedOut(ArrivalId id);
    void route(ArrivalId id);

    // Targets.
    bool requestStarting(HttpClient::ExchangeId id) override;
    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override;
    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view reason) override;

    ServiceRoutes *routesOf(HttpClient::ExchangeId id);

    // Messages.
    void configure(const FrontConfiguration &configuration);
    void handleKeyClaimResult(const KeyClaimResult &verdict);
    void drain(const DrainFront &request);
    void checkDrained();
    bool drainBoundReached() const;

    /** Returns the number of connections and requests of callers that have arrived. */
    std::uint64_t callerEvents() const
    {
        return this->server.acceptedConnections() + this->arrivedRequests;
    }

    /** Returns whether the loop may end, and reports it then.
        @param quiet whether nothing has arrived from callers in the last pass over the sockets */
    bool mayEnd(bool quiet);

    // Actions of the routers.
    void runRouters();
    void execute(ServiceRoutes &routes, const routing::Action &action);
    void send(ServiceRoutes &routes, const routing::Send &action);
    void finish(const routing::Answer &action);
    void respond(ArrivalId id, HttpResponse response, std::string_view outcome);
    void reportKeyedRequestEnd(const Arrival &arrival, ArrivalId id,
                               KeyedRequestEnd::Outcome outcome, int status);
    void scheduleTick();
    void logTargetStates();

    EventLoop &loop;
    const Clock &clock;
    const FrontSettings settings;
    NodeMetrics &metrics;
    EventLog &events;
    const std::function<void(FrontReport)> report;

    HttpServer server;
    HttpClient client;
    std::map<ServiceId, ServiceRoutes> services;
    std::map<ArrivalId, Arrival> arrivals;
    bool configured = false;
    bool draining = false;
    /** Whether the loop ends as soon as no request is open. */
    bool drained = false;
    std::uint64_t arrivedRequests = 0;
    Instant drainUntil {};
    bool runningRouters = false;
    std::map<TargetId, routing::TargetState> lastTargetStates;
    std::uint64_t countedRetries = 0;
    EventLoop::TimerId tickTimer = 0;
    Instant nextTickAt = Instant::max();
};

} // namespace bulrush
