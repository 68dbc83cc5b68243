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
    const std::optional<std::size_t> connection = this->freeConnection(endpoint);
    Call &call = this->calls[id];
    call.endpoint = endpoint;
    call.callback = std::move(callback);
    if (!connection) {
        call.connection = this->connections;
        call.timer = this->loop.schedule(Duration::zero(), [this, id] {
            this->finish(id, { {}, ExchangeFailure::NotSent, "too many open calls" });
        });
        return;
    }
    call.connection = *connection;
    this->busy[endpoint].insert(*connection);
    call.timer = this->loop.schedule(timeout, [this, id] { this->timedOut(id); });
    this->loop.schedule(Duration::zero(), [this, id, request = std::move(request)]() mutable {
        const auto found = this->calls.find(id);
        if (found != this->calls.end()) {
            const Endpoint peer = found->second.endpoint;
            this->client.send(id, peer, found->second.connection, std::move(request));
        }
    });
}

std::optional<std::size_t> HttpCaller::freeConnection(const Endpoint &endpoint) const
{
    const auto found = this->busy.find(endpoint);
    for (std::size_t index = 0; index < this->connections; ++index) {
        if (found == this->busy.end() || !found->second.contains(index)) {
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
    const auto connectionsInUse = this->busy.find(call.endpoint);
    if (connectionsInUse != this->busy.end()) {
        connectionsInUse->second.erase(call.connection);
    }
    call.callback(std::move(result));
}

} // namespace bulrush
