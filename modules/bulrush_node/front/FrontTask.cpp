#include "bulrush_node/front/FrontTask.h"

#include "bulrush_node/front/TargetAnswer.h"

#include <utility>

namespace bulrush {

namespace {

/** Shorter than ConnectionPool::maxIdleTime, after which the router no longer uses a connection. */
constexpr seconds idleConnectionTimeout { 4 };

/** Maximum time until the load balancer notices that the node is no longer ready. */
constexpr Duration readinessPropagationDelay = seconds(2);
constexpr Duration drainCheckPeriod = milliseconds(50);
constexpr Duration drainReserve = milliseconds(100);

constexpr Duration targetStateCheckPeriod = seconds(1);

template<class... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace

FrontTask::FrontTask(EventLoop &owningLoop, const Clock &runtimeClock,
                     const FrontSettings &frontSettings, NodeMetrics &nodeMetrics,
                     EventLog &eventLog, std::function<void(FrontReport)> reportFunction)
    : loop(owningLoop)
    , clock(runtimeClock)
    , settings(frontSettings)
    , metrics(nodeMetrics)
    , events(eventLog)
    , report(std::move(reportFunction))
    , server(owningLoop, frontSettings.callers, frontSettings.serverLimits, *this)
    , client(owningLoop, { frontSettings.answerBytes, idleConnectionTimeout, 1 }, *this)
{
    this->loop.scheduleEvery(targetStateCheckPeriod, [this] { this->logTargetStates(); });
}

void FrontTask::handle(FrontMessage message)
{
    std::visit(
            Overloaded {
                    [this](const FrontConfiguration &change) { this->configure(change); },
                    [this](const KeyClaimResult &verdict) { this->handleKeyClaimResult(verdict); },
                    [this](const DrainFront &request) { this->drain(request); },
            },
            message);
    this->runRouters();
}

//==============================================================================
bool FrontTask::requestStarting(HttpClient::ExchangeId id)
{
    if (ServiceRoutes *routes = this->routesOf(id)) {
        routes->router().sendStarted(ServiceRoutes::attemptOf(id));
    }
    return true;
}

ServiceRoutes *FrontTask::routesOf(HttpClient::ExchangeId id)
{
    for (auto &[name, routes] : this->services) {
        if (routes.number() == ServiceRoutes::numberOf(id)) {
            return &routes;
        }
    }
    return nullptr;
}

void FrontTask::responseArrived(HttpClient::ExchangeId id, HttpResponse response)
{
    const Instant now = this->clock.now();
    const routing::AttemptId attempt = ServiceRoutes::attemptOf(id);
    const TargetAnswer answer = readTargetAnswer(response);
    ServiceRoutes *routes = this->routesOf(id);
    if (routes == nullptr) {
        return;
    }
    if (answer.refusedBeforeStart) {
        routes->router().refusedBeforeStart(attempt, answer.head.report, now);
    } else {
        const auto request = routes->router().answerHead(attempt, answer.head, now);
        const auto arrival = request ? this->arrivals.find(static_cast<ArrivalId>(*request))
                                     : this->arrivals.end();
        if (arrival != this->arrivals.end()) {
            arrival->second.answer = std::move(response);
        }
        routes->router().answerComplete(attempt, now);
    }
    this->runRouters();
}

void FrontTask::exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                               std::string_view /*reason*/)
{
    const Instant now = this->clock.now();
    const routing::AttemptId attempt = ServiceRoutes::attemptOf(id);
    ServiceRoutes *routes = this->routesOf(id);
    if (routes == nullptr) {
        return;
    }
    if (failure == ExchangeFailure::NotSent) {
        routes->router().sendFailedBeforeAnyByte(attempt, now);
    } else {
        routes->router().attemptLost(attempt, now);
    }
    this->runRouters();
}

//==============================================================================
void FrontTask::configure(const FrontConfiguration &configuration)
{
    const Instant now = this->clock.now();
    for (const auto &[name, service] : configuration.services) {
        auto found = this->services.find(name);
        if (found == this->services.end()) {
            const auto number = static_cast<std::uint16_t>(this->services.size() + 1);
            routing::RouterSettings routerSettings;
            routerSettings.dataCentre = this->settings.dataCentre;
            routerSettings.strategy = this->settings.strategy;
            routerSettings.seed = std::hash<std::string>()(this->settings.node.name()) + number;
            found = this->services
                            .emplace(std::piecewise_construct, std::forward_as_tuple(name),
                                     std::forward_as_tuple(number, routerSettings))
                            .first;
        }
        found->second.configure(service, configuration, now);
    }
    for (auto &[name, routes] : this->services) {
        if (!configuration.services.contains(name)) {
            routes.clear();
        }
    }
    this->configured = true;
}

void FrontTask::drain(const DrainFront &request)
{
    if (this->draining) {
        return;
    }
    this->draining = true;
    this->drainUntil = this->clock.now() + request.bound;
    this->loop.schedule(readinessPropagationDelay, [this] {
        for (auto &[name, routes] : this->services) {
            routes.router().drain();
        }
        this->loop.scheduleEvery(drainCheckPeriod, [this] { this->checkDrained(); });
    });
}

void FrontTask::checkDrained()
{
    if (this->drained || (this->server.openRequests() > 0 && !this->drainBoundReached())) {
        return;
    }
    this->drained = true;
    this->loop.stopWhen([this, seen = this->callerEvents()]() mutable {
        const std::uint64_t before = std::exchange(seen, this->callerEvents());
        return this->mayEnd(before == seen);
    });
}

bool FrontTask::drainBoundReached() const
{
    return this->clock.now() + drainReserve >= this->drainUntil;
}

bool FrontTask::mayEnd(bool quiet)
{
    // A request that is read in the last pass would be cut off in the middle of its answer.
    const std::size_t open = this->server.openRequests();
    if ((!quiet || open > 0) && !this->drainBoundReached()) {
        return false;
    }
    if (open > 0) {
        const std::string text = std::to_string(open) + " requests unanswered";
        this->events.write(Event::DrainBoundPassed, "", text);
    }
    this->report(FrontDrained { open });
    return true;
}

//==============================================================================
void FrontTask::runRouters()
{
    if (this->runningRouters) {
        return;
    }
    this->runningRouters = true;
    bool acted = true;
    while (acted) {
        acted = false;
        for (auto &[name, routes] : this->services) {
            routes.router().tick(this->clock.now());
            for (const routing::Action &action : routes.router().takeActions()) {
                this->execute(routes, action);
                acted = true;
            }
        }
    }
    this->runningRouters = false;
    this->scheduleTick();
}

void FrontTask::logTargetStates()
{
    std::uint64_t retries = 0;
    for (auto &[name, routes] : this->services) {
        retries += routes.router().counts().retries;
        for (const TargetId &target : routes.targets()) {
            const auto index = routes.router().targetTable().find(target);
            const auto state = index ? routes.router().targetTable().at(*index).state()
                                     : routing::TargetState::Live;
            const auto before = std::exchange(this->lastTargetStates[target], state);
            if (state == before || state == routing::TargetState::Live) {
                continue;
            }
            const bool leaving = state == routing::TargetState::Leaving;
            this->events.write(leaving ? Event::TargetLeaving : Event::TargetEjected, target.name(),
                               name.name());
        }
    }
    this->metrics.count("bulrush_retries_total", double(retries - this->countedRetries));
    this->countedRetries = retries;
}

void FrontTask::scheduleTick()
{
    Instant due = Instant::max();
    for (auto &[name, routes] : this->services) {
        due = std::min(due, routes.router().nextDue());
    }
    if (due == this->nextTickAt) {
        return;
    }
    this->loop.cancel(this->tickTimer);
    this->nextTickAt = due;
    if (due == Instant::max()) {
        return;
    }
    const Duration delay = std::max(Duration::zero(), due - this->clock.now());
    this->tickTimer = this->loop.schedule(delay, [this] {
        this->nextTickAt = Instant::max();
        this->runRouters();
    });
}

void FrontTask::execute(ServiceRoutes &routes, const routing::Action &action)
{
    std::visit(Overloaded {
                       [this, &routes](const routing::Send &send) { this->send(routes, send); },
                       [this, &routes](const routing::Abandon &abandon) {
                           this->client.abandon(routes.exchangeId(abandon.attempt));
                       },
                       // The client closes idle connections itself.
                       [](const routing::CloseIdle & /*close*/) {},
                       [this](const routing::Answer &answer) { this->finish(answer); },
               },
               action);
}

void FrontTask::send(ServiceRoutes &routes, const routing::Send &action)
{
    const auto found = this->arrivals.find(static_cast<ArrivalId>(action.request));
    if (found == this->arrivals.end()) {
        routes.router().sendFailedBeforeAnyByte(action.attempt, this->clock.now());
        return;
    }
    const Arrival &arrival = found->second;
    HttpRequest request = arrival.request;
    request.path = arrival.head.targetPath;
    this->client.send(routes.exchangeId(action.attempt), routes.endpointOf(action.target),
                      action.connection, request);
}

} // namespace bulrush
