#pragma once

#include "bulrush_net/bulrush_net.h"
#include "bulrush_node/front/RequestHead.h"
#include "bulrush_node/front/ServiceRoutes.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_node/metrics/NodeMetrics.h"

#include <functional>
#include <map>
#include <optional>

namespace bulrush {

/** How the front task is set up. */
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
    Serves callers: takes whole requests, has a router a service choose targets, sends whole
    answers back. Owns the callers' and the targets' sockets; runs on one loop's thread and hears
    of everything else by messages.
*/
class FrontTask : private HttpServer::Listener, private HttpClient::Listener
{
public:
    /** @param report called on the loop's thread with what the control task has to know */
    FrontTask(EventLoop &loop, const Clock &clock, const FrontSettings &settings,
              NodeMetrics &metrics, EventLog &events, std::function<void(FrontReport)> report);

    FrontTask(const FrontTask &) = delete;
    FrontTask &operator=(const FrontTask &) = delete;

    /** Handles a message from the control task. */
    void handle(FrontMessage message);

private:
    /** A caller's request from its arrival to its answer. */
    struct Arrival
    {
        HttpRequest request;
        RequestHead head;
        Instant arrivedAt {};
        Instant deadline {};
        /** The whole answer of a target, until the router says to send it. */
        std::optional<HttpResponse> answer;
        EventLoop::TimerId keyTimer = 0;
        bool holdsKey = false;
    };

    // Callers.
    void requestArrived(HttpServer::RequestId id, HttpRequest request) override;
    void callerGone(HttpServer::RequestId id) override;
    void serve(ArrivalId id, HttpRequest request);
    void answerProbe(ArrivalId id, const HttpRequest &request);
    void claimKey(ArrivalId id, Arrival &arrival);
    void keyTimedOut(ArrivalId id);
    void route(ArrivalId id);

    // Targets.
    void requestLeaving(HttpClient::ExchangeId id) override;
    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override;
    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view reason) override;

    ServiceRoutes *routesOf(HttpClient::ExchangeId id);

    // Messages.
    void configure(const FrontConfiguration &configuration);
    void handleKeyClaimResult(const KeyClaimResult &verdict);
    void drain(const DrainFront &request);
    void checkDrained();

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
    bool drained = false;
    Instant drainUntil {};
    bool runningRouters = false;
    std::map<TargetId, routing::TargetState> lastTargetStates;
    std::uint64_t countedRetries = 0;
    EventLoop::TimerId tickTimer = 0;
    Instant nextTickAt = Instant::max();
};

} // namespace bulrush
