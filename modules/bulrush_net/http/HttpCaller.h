#pragma once

#include "bulrush_net/http/HttpClient.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

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

/** How long a call may take, including the time for which it is queued for a connection. */
struct CallTimeLimits
{
    /** Without any byte sent or received. A peer that never answers is noticed after this time, one
        that falls silent in the middle of an answer after up to twice as long, however long a large
        answer may take on a narrow link. */
    Duration stall {};
    /** In all. */
    Duration total {};
};

/**
    Calls HTTP endpoints with time limits per call and selects the connections itself.

    A call is queued while all connections to its endpoint are in use.
*/
class HttpCaller : private HttpClient::Listener
{
public:
    using Callback = std::function<void(CallResult)>;

    /** @param connections the maximum number of concurrent calls to one endpoint */
    HttpCaller(EventLoop &loop, std::size_t connections);

    /** Decides whether a request may still be sent. */
    using Condition = std::function<bool()>;

    /** Sends a request that may take a given time in all.
        @see the overload below */
    void call(const Endpoint &endpoint, HttpRequest request, Duration timeout, Callback callback,
              Condition maySend = {})
    {
        this->call(endpoint, std::move(request), CallTimeLimits { timeout, timeout },
                   std::move(callback), std::move(maySend));
    }

    /** Sends a request. The callback is called once, after this function has returned.
        @param maySend called immediately before the first byte is sent; if it returns false, the
                       call fails unsent. A request may be delayed by more than its timeout when the
                       process is paused. */
    void call(const Endpoint &endpoint, HttpRequest request, CallTimeLimits limits,
              Callback callback, Condition maySend = {});

private:
    struct Call
    {
        Endpoint endpoint;
        /** Empty while the call is queued for a connection. */
        std::optional<std::size_t> connection;
        HttpRequest request;
        /** The total is what is left of it after the timer that runs. */
        CallTimeLimits limits;
        /** Whether the exchange has progressed since the timer was started. */
        bool progressed = false;
        /** Whether the timer has fired once without progress. */
        bool stallNoticed = false;
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
    void exchangeProgressed(HttpClient::ExchangeId id) override;
    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override;
    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure failure,
                        std::string_view reason) override;

    std::optional<std::size_t> freeConnection(const Peer &peer) const;
    void sendNext(Peer &peer);
    void scheduleTimer(HttpClient::ExchangeId id, Call &call);
    void timerFired(HttpClient::ExchangeId id);
    void timedOut(HttpClient::ExchangeId id, std::string_view reason);
    void finish(HttpClient::ExchangeId id, CallResult result);

    EventLoop &loop;
    const std::size_t connections;
    HttpClient client;
    std::unordered_map<HttpClient::ExchangeId, Call> calls;
    std::unordered_map<Endpoint, Peer> peers;
    HttpClient::ExchangeId nextCall = 1;
};

} // namespace bulrush
