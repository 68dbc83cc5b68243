#pragma once

#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_net/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

struct lws;
struct lws_vhost;

namespace bulrush {

/** Why an exchange ended without a complete response. */
enum class ExchangeFailure : std::uint8_t {
    /** No byte of the request was sent. */
    NotSent,
    /** The request may have reached the peer. */
    Lost,
    /** The response was larger than the limit. */
    TooLarge,
};

/**
    Sends HTTP requests. The caller selects the connection of each request by endpoint and index; a
    connection carries one request at a time and is reused while it is idle.

    Uses libwebsockets for the sockets only, because the cost of a request of its own HTTP client
    grows with the number of open connections.
*/
class HttpClient
{
public:
    /** Identifies an exchange; chosen by the caller and unique while the exchange is open. */
    using ExchangeId = std::uint64_t;

    /** Receives the outcome of exchanges. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called once, immediately before the first byte of the request is sent.
            @returns false to have the exchange fail unsent, because it is too late for it */
        virtual bool requestStarting(ExchangeId id) = 0;

        /** Called when a part of the request was sent or a part of the response arrived, but not
           when either is complete. */
        virtual void exchangeProgressed(ExchangeId /*id*/) { }

        /** Called with the complete response; ends the exchange. */
        virtual void responseArrived(ExchangeId id, HttpResponse response) = 0;

        /** Called when the exchange ends without a complete response. */
        virtual void exchangeFailed(ExchangeId id, ExchangeFailure failure,
                                    std::string_view reason) = 0;
    };

    /** Limits that apply to each client. */
    struct Limits
    {
        std::size_t maxResponseBytes = 16U << 20U;
        /** How long an idle connection stays open. */
        Duration keepWarm = seconds(30);
        unsigned connectTimeoutSeconds = 2;
    };

    HttpClient(EventLoop &loop, Limits limits, Listener &listener);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request over the endpoint's connection with the given index, which must be idle. The
        listener is called after this function has returned. */
    void send(ExchangeId id, const Endpoint &endpoint, std::size_t index,
              const HttpRequest &request);

    /** Closes the exchange's connection; the listener is not called for the exchange again.
        @returns whether a part of the request was sent */
    bool abandon(ExchangeId id);

    /** Returns the number of open exchanges. */
    std::size_t openExchanges() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Connection;
    struct Protocols;
    friend struct HttpClientCallbacks;

    using ConnectionId = std::uint64_t;

    /** How a caller selects a connection. */
    struct ConnectionKey
    {
        Endpoint endpoint;
        std::size_t index = 0;

        bool operator==(const ConnectionKey &) const = default;
    };

    struct ConnectionKeyHash
    {
        std::size_t operator()(const ConnectionKey &key) const noexcept
        {
            return std::hash<Endpoint>()(key.endpoint) + key.index;
        }
    };

    /** Where an exchange is, until its end has been reported. */
    struct OpenExchange
    {
        /** 0 once the exchange has failed. */
        ConnectionId connection = 0;
        /** The failure to report; meaningful once the exchange has failed. */
        ExchangeFailure failure = ExchangeFailure::NotSent;
    };

    Connection &addConnection(const ConnectionKey &key);
    void connect(ConnectionId id, const Endpoint &endpoint);

    /** Closes a connection without informing the listener. */
    void close(Connection &connection);

    /** Removes a connection, so that the next request with its key opens a new one. */
    void remove(Connection &connection);
    void closeIdleConnections();

    // Called for events of a connection. Those that return an int return -1 to have libwebsockets
    // close it.
    void connected(Connection &connection, lws *wsi);
    int writeRequest(Connection &connection);
    int readResponse(Connection &connection, std::string_view bytes);
    void connectionClosed(Connection &connection);

    /** Delivers the complete response. @returns whether the connection stays open */
    bool deliverResponse(Connection &connection);

    /** Removes a connection and reports its exchange, if it has one, as failed. */
    void failConnection(Connection &connection, std::string_view reason);
    void failLater(ExchangeId id, ExchangeFailure failure, std::string reason);
    Connection *find(ConnectionId id);

    EventLoop &loop;
    const Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    lws_vhost *vhost = nullptr;
    EventLoop::TimerId idleTimer = 0;
    ConnectionId nextConnection = 1;
    std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections;
    std::unordered_map<ConnectionKey, ConnectionId, ConnectionKeyHash> connectionIds;
    std::unordered_map<ExchangeId, OpenExchange> exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
