#pragma once

#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_net/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct lws;

namespace bulrush {

/** Accepts HTTP connections and delivers complete requests; each may be answered asynchronously. */
class HttpServer
{
public:
    /** Identifies a request until it is answered or its client disconnects. */
    using RequestId = std::uint64_t;

    /** Receives requests. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called once for each complete request. */
        virtual void requestArrived(RequestId id, HttpRequest request) = 0;

        /** Called when the connection closed before the request was answered. */
        virtual void clientDisconnected(RequestId id) = 0;
    };

    /** Limits beyond which the server itself rejects requests, with 413, 431 or 503. */
    struct Limits
    {
        std::size_t maxRequestBytes = 1U << 20U;
        std::size_t maxConnections = 1024;
        /** Lower-case names of headers to deliver in addition to the default ones. */
        std::vector<std::string> headerNames {};
    };

    /** Starts listening. @throws Error when the endpoint cannot be bound */
    HttpServer(EventLoop &loop, const Endpoint &endpoint, Limits limits, Listener &listener);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Answers a request; has no effect when the client has disconnected. */
    void respond(RequestId id, HttpResponse response);

    /** Returns the number of connections accepted since the start. */
    std::uint64_t acceptedConnections() const { return this->acceptedCount; }

    /** Returns the number of requests whose response has not been sent completely. */
    std::size_t openRequests() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Session;
    friend struct HttpServerCallbacks;

    int beginRequest(lws *wsi, Session &session, std::string_view path);
    int receiveBody(lws *wsi, Session &session, std::string_view bytes);
    void deliver(Session &session);
    int reject(lws *wsi, Session &session, int status, std::string_view reason);
    int writeResponse(lws *wsi, Session &session);
    void connectionClosed(Session &session);

    struct Protocols;

    EventLoop &loop;
    const Endpoint endpoint;
    const Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    lws_vhost *vhost = nullptr;
    std::map<RequestId, std::unique_ptr<Exchange>> exchanges;
    RequestId nextRequest = 1;
    std::size_t connectionCount = 0;
    std::uint64_t acceptedCount = 0;
};

} // namespace bulrush
