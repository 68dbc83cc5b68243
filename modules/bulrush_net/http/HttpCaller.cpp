#include "bulrush_net/http/HttpCaller.h"

namespace bulrush {

HttpCaller::HttpCaller(EventLoop &owningLoop, std::size_t connectionCount)
    : loop(owningLoop)
    , connections(connectionCount)
    , client(owningLoop, connectionCount, HttpClient::Limits(), *this)
{
}

void HttpCaller::call(const Endpoint &endpoint, HttpRequest request, Duration timeout,
                      Callback callback)
{
    const HttpClient::ExchangeId id = this->nextCall++;
    Call &call = this->calls[id];
    call.endpoint = endpoint;
    call.request = std::move(request);
    call.callback = std::move(callback);
    call.timer = this->loop.schedule(timeout, [this, id] { this->timedOut(id); });
    this->queuedCalls[endpoint].push_back(id);
    this->sendNext(endpoint);
}

void HttpCaller::sendNext(const Endpoint &endpoint)
{
    const auto queue = this->queuedCalls.find(endpoint);
    if (queue == this->queuedCalls.end()) {
        return;
    }
    const std::optional<std::size_t> connection = this->freeConnection(endpoint);
    if (!connection) {
        return;
    }
    const HttpClient::ExchangeId id = queue->second.front();
    queue->second.pop_front();
    if (queue->second.empty()) {
        this->queuedCalls.erase(queue);
    }
    this->calls.at(id).connection = *connection;
    this->connectionsInUse[endpoint].insert(*connection);
    this->loop.schedule(Duration::zero(), [this, id] { this->send(id); });
}

void HttpCaller::send(HttpClient::ExchangeId id)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
        const Endpoint peer = found->second.endpoint;
        HttpRequest request = std::move(found->second.request);
        this->client.send(id, peer, *found->second.connection, std::move(request));
    }
}

std::optional<std::size_t> HttpCaller::freeConnection(const Endpoint &endpoint) const
{
    const auto found = this->connectionsInUse.find(endpoint);
    for (std::size_t index = 0; index < this->connections; ++index) {
        if (found == this->connectionsInUse.end() || !found->second.contains(index)) {
            return index;
        }
    }
    return std::nullopt;
}

void HttpCaller::responseArrived(HttpClient::ExchangeId id, HttpResponse response)
{
    this->finish(id, { std::move(response), ExchangeFailure::Lost, {} });
}

void HttpCaller::exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                                std::string_view reason)
{
    this->finish(id, { {}, failure, std::string(reason) });
}

void HttpCaller::timedOut(HttpClient::ExchangeId id)
{
    const Call &call = this->calls.at(id);
    if (!call.connection) {
        std::deque<HttpClient::ExchangeId> &queue = this->queuedCalls.at(call.endpoint);
        std::erase(queue, id);
        if (queue.empty()) {
            this->queuedCalls.erase(call.endpoint);
        }
        this->finish(id, { {}, ExchangeFailure::NotSent, "no connection became free" });
        return;
    }
    this->client.abandon(id);
    this->finish(id, { {}, ExchangeFailure::Lost, "timeout" });
}

void HttpCaller::finish(HttpClient::ExchangeId id, CallResult result)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    const Call call = std::move(found->second);
    this->calls.erase(found);
    this->loop.cancel(call.timer);
    if (call.connection) {
        this->connectionsInUse[call.endpoint].erase(*call.connection);
        this->sendNext(call.endpoint);
    }
    call.callback(std::move(result));
}

} // namespace bulrush
