#pragma once

#include "bulrush_net/http/HttpClient.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_routing/bulrush_routing.h"

#include <map>

namespace bulrush {

/** The router of one service, and the endpoints of its targets. */
class ServiceRoutes
{
public:
    /** @param number distinguishes the service's exchanges from those of others */
    ServiceRoutes(std::uint16_t number, const routing::RouterSettings &settings);

    /** Brings targets, their leaving marks and the cut data centres up to date. */
    void configure(const FrontService &service, const FrontConfiguration &configuration,
                   Instant now);

    /** Gives all targets up; requests in flight on them finish. */
    void clear();

    /** Returns the name of an attempt among all services' exchanges. */
    HttpClient::ExchangeId exchangeId(routing::AttemptId attempt) const;

    /** Returns the attempt of an exchange. */
    static routing::AttemptId attemptOf(HttpClient::ExchangeId exchange);

    /** Returns the number of the service that an exchange belongs to. */
    static std::uint16_t numberOf(HttpClient::ExchangeId exchange);

    /** Returns where a target is reached. */
    const Endpoint &endpointOf(const TargetId &target) const;

    /** Returns the names of the targets that may get requests. */
    std::vector<TargetId> targets() const;

    std::uint16_t number() const { return this->serviceNumber; }
    Duration deadline() const { return this->service.deadline; }
    routing::Router &router() { return this->serviceRouter; }

private:
    const std::uint16_t serviceNumber;
    routing::Router serviceRouter;
    FrontService service;
    /** Targets taken out stay here, as requests may be in flight on them. */
    std::map<TargetId, Endpoint> endpoints;
};

} // namespace bulrush
