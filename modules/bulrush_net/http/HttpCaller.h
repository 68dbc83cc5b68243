#pragma once

#include "bulrush_net/http/HttpClient.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace bulrush {

/** The result of a call: a response, or the reason for the failure. */
struct CallResult
{
    std::optional<HttpResponse> response;
    ExchangeFailure failure = ExchangeFailure::NotSent;
    std::string reason;

    /** Returns whether a response with a status from 200 to 299 was received. */
    bool succeeded() const
    {
        return this->response && this->response->status >= 200 && this->response->status < 300;
    }
};

/**
    Calls HTTP endpoints with a timeout per call and selects the connections itself.

    A call is queued while all connections to its endpoint are in use; its timeout includes the
    time in the queue.
*/
class HttpCaller : private HttpClient::Listener
{
public:
    using Callback = std::function<void(CallResult)>;

    /** @param connections the maximum number of concurrent calls to one endpoint */
    HttpCaller(EventLoop &loop, std::size_t connections);

    /** Decides whether a request may still be sent. */
    using Condition = std::function<bool()>;

    /** Sends a request. The callback is called once, after this function has returned.
        @param maySend called immediately before the first byte is sent; if it returns false, the
                       call fails unsent. A request may be delayed by more than its timeout when the
                       process is paused. */
    void call(const Endpoint &endpoint, HttpRequest request, Duration timeout, Callback callback,
              Condition maySend = {});

private:
    struct Call
    {
        Endpoint endpoint;
        /** Empty while the call is queued for a connection. */
        std::optional<std::size_t> connection;
        HttpRequest request;
        EventLoop::TimerId timer = 0;
        Callback callback;
        Condition maySend;
    };

    /** The calls to one endpoint. */
    struct Peer
    {
        /** Indexes of the connections that carry a call. */
        std::set<std::size_t> connectionsInUse;
        /** Calls that wait for a connection. */
        std::deque<HttpClient::ExchangeId> queue;
    };

    bool requestStarting(HttpClient::ExchangeId id) override;
    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override;
    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view reason) override;

    std::optional<std::size_t> freeConnection(const Peer &peer) const;
    void sendNext(Peer &peer);
    void timedOut(HttpClient::ExchangeId id);
    void finish(HttpClient::ExchangeId id, CallResult result);

    EventLoop &loop;
    const std::size_t connections;
    HttpClient client;
    std::unordered_map<HttpClient::ExchangeId, Call> calls;
    std::unordered_map<Endpoint, Peer> peers;
    HttpClient::ExchangeId nextCall = 1;
};

} // namespace bulrush
