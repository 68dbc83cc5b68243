#pragma once

#include "bulrush_net/http/HttpClient.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_routing/bulrush_routing.h"

#include <map>

namespace bulrush {

/** The router of one service and the endpoints of its targets. */
class ServiceRoutes
{
public:
    /** @param number identifies the service in the ids of its exchanges */
    ServiceRoutes(std::uint16_t number, const routing::RouterSettings &settings);

    /** Updates the targets, whether each is leaving, and whether its data centre is reachable. */
    void configure(const FrontService &service, const FrontConfiguration &configuration,
                   Instant now);

    /** Removes all targets; requests in flight to them are completed. */
    void clear();

    /** Returns the exchange id of an attempt, unique across all services. */
    HttpClient::ExchangeId exchangeId(routing::AttemptId attempt) const;

    /** Returns the attempt of an exchange. */
    static routing::AttemptId attemptOf(HttpClient::ExchangeId exchange);

    /** Returns the number of the service that an exchange belongs to. */
    static std::uint16_t numberOf(HttpClient::ExchangeId exchange);

    /** Returns the endpoint of a target, also of a removed one. */
    const Endpoint &endpointOf(const TargetId &target) const;

    /** Returns the configured targets. */
    std::vector<TargetId> targets() const;

    std::uint16_t number() const { return this->serviceNumber; }
    Duration deadline() const { return this->service.deadline; }
    routing::Router &router() { return this->serviceRouter; }

private:
    const std::uint16_t serviceNumber;
    routing::Router serviceRouter;
    FrontService service;
    /** Includes removed targets, as requests to them may be in flight. */
    std::map<TargetId, Endpoint> endpoints;
};

} // namespace bulrush
