#pragma once

#include "bulrush_net/http/HttpClient.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

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

    /** Sends a request. The callback is called once, after this function has returned. */
    void call(const Endpoint &endpoint, HttpRequest request, Duration timeout, Callback callback);

private:
    struct Call
    {
        Endpoint endpoint;
        /** Empty while the call is queued for a connection. */
        std::optional<std::size_t> connection;
        HttpRequest request;
        EventLoop::TimerId timer = 0;
        Callback callback;
    };

    void requestStarting(HttpClient::ExchangeId /*id*/) override { }
    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override;
    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view reason) override;

    std::optional<std::size_t> freeConnection(const Endpoint &endpoint) const;
    void send(HttpClient::ExchangeId id);
    void sendNext(const Endpoint &endpoint);
    void timedOut(HttpClient::ExchangeId id);
    void finish(HttpClient::ExchangeId id, CallResult result);

    EventLoop &loop;
    const std::size_t connections;
    HttpClient client;
    std::map<HttpClient::ExchangeId, Call> calls;
    std::map<Endpoint, std::set<std::size_t>> connectionsInUse;
    std::map<Endpoint, std::deque<HttpClient::ExchangeId>> queuedCalls;
    HttpClient::ExchangeId nextCall = 1;
};

} // namespace bulrush
