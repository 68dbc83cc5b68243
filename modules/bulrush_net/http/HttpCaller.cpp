#include "bulrush_net/http/HttpCaller.h"

#include <algorithm>
#include <utility>

namespace bulrush {

HttpCaller::HttpCaller(EventLoop &owningLoop, std::size_t connectionCount)
    : loop(owningLoop)
    , connections(connectionCount)
    , client(owningLoop, HttpClient::Limits(), *this)
{
}

void HttpCaller::call(const Endpoint &endpoint, HttpRequest request, CallTimeLimits limits,
                      Callback callback, Condition maySend)
{
    const HttpClient::ExchangeId id = this->nextCall++;
    Call &call = this->calls[id];
    call.endpoint = endpoint;
    call.request = std::move(request);
    call.callback = std::move(callback);
    call.maySend = std::move(maySend);
    call.limits = limits;
    this->scheduleTimer(id, call);
    Peer &peer = this->peers[endpoint];
    peer.queue.push_back(id);
    this->sendNext(peer);
}

void HttpCaller::sendNext(Peer &peer)
{
    const std::optional<std::size_t> connection = this->freeConnection(peer);
    if (peer.queue.empty() || !connection) {
        return;
    }
    const HttpClient::ExchangeId id = peer.queue.front();
    peer.queue.pop_front();
    peer.connectionsInUse.insert(*connection);
    Call &call = this->calls.at(id);
    call.connection = connection;
    this->client.send(id, call.endpoint, *connection, call.request);
    call.request = HttpRequest();
}

std::optional<std::size_t> HttpCaller::freeConnection(const Peer &peer) const
{
    for (std::size_t index = 0; index < this->connections; ++index) {
        if (!peer.connectionsInUse.contains(index)) {
            return index;
        }
    }
    return std::nullopt;
}

bool HttpCaller::requestStarting(HttpClient::ExchangeId id)
{
    const auto found = this->calls.find(id);
    return found != this->calls.end() && (!found->second.maySend || found->second.maySend());
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

void HttpCaller::exchangeProgressed(HttpClient::ExchangeId id)
{
    const auto found = this->calls.find(id);
    if (found != this->calls.end()) {
        found->second.progressed = true;
    }
}

void HttpCaller::scheduleTimer(HttpClient::ExchangeId id, Call &call)
{
    const Duration delay = std::min(call.limits.stall, call.limits.total);
    call.limits.total -= delay;
    call.timer = this->loop.schedule(delay, [this, id] { this->timerFired(id); });
}

void HttpCaller::timerFired(HttpClient::ExchangeId id)
{
    Call &call = this->calls.at(id);
    if (call.limits.total == Duration::zero()) {
        this->timedOut(id, "timeout");
        return;
    }
    if (std::exchange(call.progressed, false)) {
        call.stallNoticed = false;
        this->scheduleTimer(id, call);
        return;
    }
    if (call.stallNoticed) {
        this->timedOut(id, "no progress");
        return;
    }
    // After a pause of this process, bytes that arrived meanwhile are read before the next round of
    // timers.
    call.stallNoticed = true;
    call.timer = this->loop.schedule(Duration::zero(), [this, id] { this->timerFired(id); });
}

void HttpCaller::timedOut(HttpClient::ExchangeId id, std::string_view reason)
{
    const Call &call = this->calls.at(id);
    if (!call.connection) {
        std::erase(this->peers.at(call.endpoint).queue, id);
        this->finish(id, { {}, ExchangeFailure::NotSent, "no connection became free" });
        return;
    }
    const bool sent = this->client.abandon(id);
    this->finish(
            id,
            { {}, sent ? ExchangeFailure::Lost : ExchangeFailure::NotSent, std::string(reason) });
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
    const auto peer = this->peers.find(call.endpoint);
    if (call.connection) {
        peer->second.connectionsInUse.erase(*call.connection);
        this->sendNext(peer->second);
    }
    if (peer->second.connectionsInUse.empty() && peer->second.queue.empty()) {
        this->peers.erase(peer);
    }
    call.callback(std::move(result));
}

} // namespace bulrush
