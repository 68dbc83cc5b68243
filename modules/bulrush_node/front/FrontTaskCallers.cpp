// The part of FrontTask that takes requests of callers, claims their keys, and answers them.

#include "bulrush_node/front/FrontTask.h"

#include "bulrush_node/front/Answers.h"

#include <utility>

namespace bulrush {

namespace {

/** An idempotent request is sent again if its target sends no data for this part (1 / divisor) of
    the time left until the deadline. */
constexpr int inactivityTimeoutDivisor = 2;

constexpr Duration retryAfterStart = seconds(1);
constexpr Duration retryAfterKeyUnclear = seconds(1);

/** Returns whether an earlier attempt with the request's key may have run. */
bool mayHaveRunBefore(const RequestHead &head)
{
    return !head.key.empty() && !head.firstTry;
}

/** Returns the answer to a request that was not sent and whose key claim has no result yet. */
HttpResponse notSent(const RequestHead &head, std::string_view reason, Duration retryAfter)
{
    return mayHaveRunBefore(head) ? answers::unknown(reason, retryAfter)
                                  : answers::notRun(reason, retryAfter);
}

} // namespace

void FrontTask::requestArrived(HttpServer::RequestId id, HttpRequest request)
{
    ++this->arrivedRequests;
    if (request.path == "/ready" || request.path == "/live") {
        this->answerProbe(id, request);
        return;
    }
    try {
        this->serve(id, std::move(request));
    } catch (const Error &error) {
        this->arrivals.erase(id);
        this->server.respond(id, answers::malformed(error.what()));
    }
    this->runRouters();
}

void FrontTask::answerProbe(ArrivalId id, const HttpRequest &request)
{
    const bool ready = this->configured && !this->draining;
    HttpResponse response;
    response.status = ready || request.path == "/live" ? 200 : 503;
    response.body = ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n";
    this->server.respond(id, std::move(response));
}

void FrontTask::serve(ArrivalId id, HttpRequest request)
{
    Arrival arrival;
    arrival.head = readRequestHead(request);
    arrival.request = std::move(request);
    arrival.arrivedAt = this->clock.now();
    if (!this->configured) {
        this->server.respond(id, notSent(arrival.head, "the node is starting", retryAfterStart));
        return;
    }
    const auto routes = this->services.find(arrival.head.service);
    if (routes == this->services.end()) {
        this->server.respond(id, answers::noSuchService(arrival.head.service.name()));
        return;
    }
    const bool hasDeadline = arrival.head.deadline > Duration::zero();
    arrival.deadline =
            arrival.arrivedAt + (hasDeadline ? arrival.head.deadline : routes->second.deadline());
    Arrival &stored = this->arrivals.emplace(id, std::move(arrival)).first->second;
    this->metrics.set("bulrush_requests_in_flight", double(this->arrivals.size()));
    if (stored.head.key.empty()) {
        this->route(id);
    } else {
        this->claimKey(id, stored);
    }
}

void FrontTask::claimKey(ArrivalId id, Arrival &arrival)
{
    const Duration timeout = arrival.deadline - arrival.arrivedAt;
    arrival.keyTimer = this->loop.schedule(timeout, [this, id] { this->keyTimedOut(id); });
    this->report(KeyClaim { id, arrival.head.key, arrival.head.firstTry });
}

void FrontTask::keyTimedOut(ArrivalId id)
{
    const auto found = this->arrivals.find(id);
    if (found == this->arrivals.end()) {
        return;
    }
    this->reportKeyedRequestEnd(found->second, id, KeyedRequestEnd::Outcome::NotSent, 0);
    const bool mayHaveRun = mayHaveRunBefore(found->second.head);
    this->respond(id,
                  notSent(found->second.head, "the key could not be claimed in time",
                          retryAfterKeyUnclear),
                  mayHaveRun ? "unknown" : "not_run");
}

void FrontTask::handleKeyClaimResult(const KeyClaimResult &verdict)
{
    const auto found = this->arrivals.find(verdict.arrival);
    if (found == this->arrivals.end()) {
        return;
    }
    Arrival &arrival = found->second;
    this->loop.cancel(arrival.keyTimer);
    switch (verdict.decision) {
    case KeyDecision::MaySend:
        arrival.holdsKey = true;
        this->route(verdict.arrival);
        return;
    case KeyDecision::NotRun:
        this->respond(verdict.arrival, answers::notRun(verdict.reason, retryAfterKeyUnclear),
                      "not_run");
        return;
    case KeyDecision::Unknown:
        this->respond(verdict.arrival, answers::unknown(verdict.reason, retryAfterKeyUnclear),
                      "unknown");
        return;
    case KeyDecision::Duplicate:
        this->respond(verdict.arrival, answers::duplicate(verdict.status), "duplicate");
        return;
    case KeyDecision::Malformed:
        this->respond(verdict.arrival, answers::malformed(verdict.reason), "not_run");
        return;
    }
}

void FrontTask::route(ArrivalId id)
{
    const Arrival &arrival = this->arrivals.at(id);
    routing::Request request;
    request.id = static_cast<routing::RequestId>(id);
    request.deadline = arrival.deadline;
    request.requestClass = arrival.head.interactive ? routing::RequestClass::Interactive
                                                    : routing::RequestClass::Bulk;
    request.idempotent = arrival.head.idempotent;
    const Duration remaining = arrival.deadline - this->clock.now();
    request.inactivityTimeout =
            arrival.head.idempotent ? remaining / inactivityTimeoutDivisor : remaining;
    this->services.at(arrival.head.service).router().arrived(request, this->clock.now());
}

void FrontTask::clientDisconnected(HttpServer::RequestId id)
{
    const auto found = this->arrivals.find(id);
    if (found == this->arrivals.end()) {
        return;
    }
    const Arrival &arrival = found->second;
    if (arrival.keyTimer != 0) {
        this->loop.cancel(arrival.keyTimer);
    }
    const auto routes = this->services.find(arrival.head.service);
    if (routes != this->services.end()) {
        routes->second.router().callerDisconnected(static_cast<routing::RequestId>(id),
                                                   this->clock.now());
    }
    // The request may have been sent to a target, so a key that it holds stays claimed.
    this->reportKeyedRequestEnd(arrival, id,
                                arrival.holdsKey ? KeyedRequestEnd::Outcome::Unknown
                                                 : KeyedRequestEnd::Outcome::NotSent,
                                0);
    this->arrivals.erase(found);
    this->runRouters();
}

//==============================================================================
void FrontTask::finish(const routing::Answer &action)
{
    const auto id = static_cast<ArrivalId>(action.request);
    const auto found = this->arrivals.find(id);
    if (found == this->arrivals.end()) {
        return;
    }
    Arrival &arrival = found->second;
    if (action.outcome == routing::Outcome::Answered && arrival.answer) {
        HttpResponse response = std::move(*arrival.answer);
        response.headers.push_back({ "bulrush-outcome", "answered" });
        response.headers.push_back({ "bulrush-node", this->settings.node.name() });
        this->reportKeyedRequestEnd(arrival, id, KeyedRequestEnd::Outcome::Answered,
                                    response.status);
        this->respond(id, std::move(response), "answered");
    } else if (action.outcome == routing::Outcome::NotRun) {
        this->reportKeyedRequestEnd(arrival, id, KeyedRequestEnd::Outcome::NotSent, 0);
        this->events.write(Event::RequestRefused, arrival.head.service.name(), "not run");
        this->respond(id, answers::notRun("no target took the request", action.retryAfter),
                      "not_run");
    } else {
        this->reportKeyedRequestEnd(arrival, id, KeyedRequestEnd::Outcome::Unknown, 0);
        this->events.write(Event::RequestUnknown, arrival.head.service.name(),
                           "sent, no complete answer");
        this->respond(id, answers::unknown("sent, and no whole answer came", action.retryAfter),
                      "unknown");
    }
}

void FrontTask::respond(ArrivalId id, HttpResponse response, std::string_view outcome)
{
    const auto found = this->arrivals.find(id);
    const Duration time = this->clock.now() - found->second.arrivedAt;
    this->metrics.recordRequest(found->second.head.service, outcome, time);
    this->arrivals.erase(found);
    this->metrics.set("bulrush_requests_in_flight", double(this->arrivals.size()));
    this->server.respond(id, std::move(response));
}

void FrontTask::reportKeyedRequestEnd(const Arrival &arrival, ArrivalId id,
                                      KeyedRequestEnd::Outcome outcome, int status)
{
    if (!arrival.head.key.empty()) {
        this->report(KeyedRequestEnd { id, arrival.head.key, outcome, status });
    }
}

} // namespace bulrush
