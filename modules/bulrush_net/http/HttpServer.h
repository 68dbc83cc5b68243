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

/** Accepts HTTP connections and hands over whole requests; an answer may come at any later time. */
class HttpServer
{
public:
    /** Names one request until it is answered or its caller has gone. */
    using RequestId = std::uint64_t;

    /** Receives requests. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called once for each whole request. */
        virtual void requestArrived(RequestId id, HttpRequest request) = 0;

        /** Called when the connection closed before the request was answered. */
        virtual void callerGone(RequestId id) = 0;
    };

    /** What is refused by the server itself, with 413, 431 or 503. */
    struct Limits
    {
        std::size_t requestBytes = 1U << 20U;
        std::size_t connections = 1024;
        /** Names in lower case of headers that are handed over beside the usual ones. */
        std::vector<std::string> headerNames {};
    };

    /** Listens at once. @throws Error when the endpoint cannot be bound */
    HttpServer(EventLoop &loop, const Endpoint &endpoint, Limits limits, Listener &listener);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Answers a request; ignored when the caller has gone. */
    void respond(RequestId id, HttpResponse response);

    /** Returns how many connections were accepted since the start. */
    std::uint64_t acceptedConnections() const { return this->acceptedCount; }

    /** Returns how many requests wait for their answer or are being answered. */
    std::size_t openRequests() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Session;
    friend struct HttpServerCallbacks;

    int beginRequest(lws *wsi, Session &session, std::string_view path);
    int receiveBody(lws *wsi, Session &session, std::string_view bytes);
    void deliver(Session &session);
    int refuse(lws *wsi, Session &session, int status, std::string_view reason);
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
