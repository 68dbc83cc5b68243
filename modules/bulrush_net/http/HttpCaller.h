#pragma once

#include "bulrush_net/http/HttpClient.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace bulrush {

/** What came of a call: an answer, or the reason why there is none. */
struct CallResult
{
    std::optional<HttpResponse> response;
    ExchangeFailure failure = ExchangeFailure::NotSent;
    std::string reason;

    /** Returns whether an answer with a status from 200 to 299 came. */
    bool succeeded() const
    {
        return this->response && this->response->status >= 200 && this->response->status < 300;
    }
};

/**
    Calls HTTP endpoints with a timeout each, over connections that it chooses itself.

    A call that finds all connections to its endpoint in use waits for one; its timeout counts
    from the call.
*/
class HttpCaller : private HttpClient::Listener
{
public:
    using Callback = std::function<void(CallResult)>;

    /** @param connections the greatest number of open calls to one endpoint */
    HttpCaller(EventLoop &loop, std::size_t connections);

    /** Sends a request. The callback is called once, never from within this call. */
    void call(const Endpoint &endpoint, HttpRequest request, Duration timeout, Callback callback);

private:
    struct Call
    {
        Endpoint endpoint;
        /** None while the call waits for a connection. */
        std::optional<std::size_t> connection;
        HttpRequest request;
        EventLoop::TimerId timer = 0;
        Callback callback;
    };

    void requestLeaving(HttpClient::ExchangeId /*id*/) override { }
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
    std::map<Endpoint, std::set<std::size_t>> busy;
    std::map<Endpoint, std::deque<HttpClient::ExchangeId>> waiting;
    HttpClient::ExchangeId nextCall = 1;
};

} // namespace bulrush
