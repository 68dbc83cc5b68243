#pragma once

#include "bulrush_net/http/BodyBudget.h"
#include "bulrush_net/http/ConnectionTable.h"
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

struct RequestHead;

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

    /** Limits beyond which the server itself rejects requests, with 408, 411, 413, 431 or 503, or
        closes connections. */
    struct Limits
    {
        std::size_t maxRequestBytes = 1U << 20U;
        /** An eighth more are accepted, to be answered 503; further ones are closed at once. */
        std::size_t maxConnections = 1024;
        /** Lower-case names of headers to deliver in addition to the default ones. */
        std::vector<std::string> headerNames {};
        /** Memory for all bodies until their requests are answered; 0 when it has no limit. */
        std::size_t bodyBudgetBytes = 0;
        ConnectionTimes times {};
        /** Whether the memory of a request is in use until respond() is called, even when its
            client has disconnected. The listener must then call it for every request. */
        bool requestsOutliveClients = false;
    };

    /** What was refused or closed because of a limit, since the start. */
    struct Refusals
    {
        /** Bodies over the size limit. */
        std::uint64_t tooLarge = 0;
        /** Bodies for which there was no memory. */
        std::uint64_t noMemory = 0;
        /** Unfinished uploads that were closed for other bodies. */
        std::uint64_t displacedUploads = 0;
        /** Uploads below the minimum rate. */
        std::uint64_t slowUploads = 0;
        /** Connections that were closed at once, or whose request was refused, because there were
            too many. */
        std::uint64_t connections = 0;
        /** Waiting connections that were closed for new ones. */
        std::uint64_t displacedConnections = 0;
        /** Connections closed after the time for a header or without a request. */
        std::uint64_t overdueConnections = 0;
    };

    /** Starts listening. @throws Error when the endpoint cannot be bound */
    HttpServer(EventLoop &loop, const Endpoint &endpoint, Limits limits, Listener &listener);
    ~HttpServer();

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Sets the size limit of bodies and the time limits, for requests that arrive from now on.
        The size is bounded by what the memory for bodies can hold. */
    void setLimits(std::size_t maxRequestBytes, const ConnectionTimes &times);

    const Limits &currentLimits() const { return this->limits; }
    const Refusals &refusals() const { return this->refused; }

    /** Returns the memory that is reserved for bodies. */
    std::size_t reservedBodyBytes() const { return this->budget.reservedBytes(); }

    /** Returns the number of open connections. */
    std::size_t openConnections() const { return this->connections.size(); }

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

    bool acceptsConnection();
    void connectionOpened(lws *wsi);
    int beginRequest(lws *wsi, Session &session, std::string_view path);

    /** Returns the status with which a request is refused, 0 when it is received.
        @param beyondLimit whether its connection is one too many */
    int refusalOf(const RequestHead &head, RequestId id, bool beyondLimit);
    int receiveBody(Session &session, std::string_view bytes);
    int completeBody(Session &session);
    void deliver(RequestId id, Exchange &exchange);
    void reject(RequestId id, Exchange &exchange, int status);
    void rejectUploads(const std::vector<RequestId> &uploads, int status);
    int writeResponse(lws *wsi, Session &session);
    int endResponse(lws *wsi, Session &session);
    void requestDisconnected(Session &session);

    /** Enforces the time limits. */
    void sweep();
    void noteBegunHeaders();
    void closeConnection(ConnectionTable::ConnectionId id);

    struct Protocols;

    EventLoop &loop;
    const Endpoint endpoint;
    Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    lws_vhost *vhost = nullptr;
    std::map<RequestId, std::unique_ptr<Exchange>> exchanges;
    RequestId nextRequest = 1;
    BodyBudget budget;
    ConnectionTable connections;
    /** Bytes that connections had received when their last request was answered. */
    std::map<ConnectionTable::ConnectionId, std::uint64_t> receivedBefore;
    Refusals refused;
    EventLoop::TimerId sweepTimer = 0;
    std::uint64_t acceptedCount = 0;
};

} // namespace bulrush
