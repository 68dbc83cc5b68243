#include "bulrush_node/front/ServiceRoutes.h"

#include <algorithm>
#include <set>

namespace bulrush {

namespace {

constexpr unsigned attemptBits = 48;
constexpr HttpClient::ExchangeId attemptMask = (HttpClient::ExchangeId(1) << attemptBits) - 1;

/** Approximate number of connections that a target accepts from all nodes together. */
constexpr unsigned connectionsPerTarget = 65;

} // namespace

ServiceRoutes::ServiceRoutes(std::uint16_t number, const routing::RouterSettings &settings)
    : serviceNumber(number)
    , serviceRouter(settings)
{
}

void ServiceRoutes::configure(const FrontService &newService,
                              const FrontConfiguration &configuration, Instant now)
{
    const unsigned share = routing::connectionShare(connectionsPerTarget, configuration.nodes);
    std::set<TargetId> present;
    std::set<DataCentreId> dataCentres;
    for (const FrontTarget &target : newService.targets) {
        present.insert(target.target);
        dataCentres.insert(target.dataCentre);
        this->endpoints[target.target] = target.endpoint;
        this->serviceRouter.putTarget({ target.target, target.dataCentre, target.slots, share });
        this->serviceRouter.setLeaving(target.target, routing::LeavingSource::Record,
                                       configuration.leavingByRecord.contains(target.target), now);
        this->serviceRouter.setLeaving(target.target, routing::LeavingSource::PlatformList,
                                       configuration.leavingByPlatform.contains(target.target),
                                       now);
    }
    for (const FrontTarget &target : this->service.targets) {
        if (!present.contains(target.target)) {
            this->serviceRouter.removeTarget(target.target);
        }
    }
    for (const DataCentreId &dataCentre : dataCentres) {
        this->serviceRouter.setReachable(dataCentre,
                                         !configuration.unreachable.contains(dataCentre));
    }
    this->service = newService;
}

void ServiceRoutes::clear()
{
    for (const FrontTarget &target : this->service.targets) {
        this->serviceRouter.removeTarget(target.target);
    }
    this->service.targets.clear();
}

HttpClient::ExchangeId ServiceRoutes::exchangeId(routing::AttemptId attempt) const
{
    return HttpClient::ExchangeId(this->serviceNumber) << attemptBits
            | (static_cast<HttpClient::ExchangeId>(attempt) & attemptMask);
}

routing::AttemptId ServiceRoutes::attemptOf(HttpClient::ExchangeId exchange)
{
    return static_cast<routing::AttemptId>(exchange & attemptMask);
}

std::uint16_t ServiceRoutes::numberOf(HttpClient::ExchangeId exchange)
{
    return static_cast<std::uint16_t>(exchange >> attemptBits);
}

std::vector<TargetId> ServiceRoutes::targets() const
{
    std::vector<TargetId> names;
    for (const FrontTarget &target : this->service.targets) {
        names.push_back(target.target);
    }
    return names;
}

const Endpoint &ServiceRoutes::endpointOf(const TargetId &target) const
{
    return this->endpoints.at(target);
}

} // namespace bulrush
