#pragma once

#include "bulrush_net/http/HttpMessage.h"
#include "bulrush_net/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct lws;

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
    Sends HTTP requests. The caller selects the connection of each request by index; a connection
    carries one request at a time and is reused while it is idle.
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

        /** Called once, immediately before the first byte of the request is sent. */
        virtual void requestStarting(ExchangeId id) = 0;

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
        std::uint16_t keepWarmSeconds = 30;
        unsigned connectTimeoutSeconds = 2;
    };

    /** @param connections the number of connection indexes, starting from 0 */
    HttpClient(EventLoop &loop, std::size_t connections, Limits limits, Listener &listener);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request over the connection with the given index. The listener may be called before
        this function returns. */
    void send(ExchangeId id, const Endpoint &endpoint, std::size_t connection, HttpRequest request);

    /** Closes the exchange's connection; the listener is not called for the exchange again. */
    void abandon(ExchangeId id);

    /** Returns the number of open exchanges. */
    std::size_t openExchanges() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Protocols;
    friend struct HttpClientCallbacks;

    int appendHeaders(Exchange &exchange, lws *wsi, unsigned char **position,
                      const unsigned char *end);
    /** Schedules the removal of a sent request's libwebsockets timeout. The cost of libwebsockets'
        sorted timeout list grows with its length, and callers set their own request timeouts. */
    void scheduleTimeoutRemoval(ExchangeId id);
    int writeBody(Exchange &exchange, lws *wsi);
    void readHead(Exchange &exchange, lws *wsi);
    int readBody(Exchange &exchange, lws *wsi);
    int appendBody(Exchange &exchange, std::string_view bytes);
    void complete(ExchangeId id);
    void deliverResponse(ExchangeId id);
    void fail(ExchangeId id, std::string_view reason);
    Exchange *find(ExchangeId id);

    EventLoop &loop;
    const Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    std::vector<lws_vhost *> vhosts;
    /** Space for one read of a response's body. */
    std::vector<char> readBuffer;
    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
