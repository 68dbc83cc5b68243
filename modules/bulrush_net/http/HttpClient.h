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

/** Why an exchange ended without a whole answer. */
enum class ExchangeFailure : std::uint8_t {
    /** No byte of the request left this process. */
    NotSent,
    /** The request may have reached the peer. */
    Lost,
    /** The answer was larger than the limit. */
    TooLarge,
};

/**
    Sends HTTP requests. The caller chooses the connection of each by its index; a connection
    carries one request at a time and is re-used while it is idle.
*/
class HttpClient
{
public:
    /** Names one exchange; chosen by the caller, unique while the exchange is open. */
    using ExchangeId = std::uint64_t;

    /** Receives what comes of exchanges. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called once when the first byte of the request is about to leave. */
        virtual void requestLeaving(ExchangeId id) = 0;

        /** Called with the whole answer; the exchange is over. */
        virtual void responseArrived(ExchangeId id, HttpResponse response) = 0;

        /** Called when no whole answer will come; the exchange is over. */
        virtual void exchangeFailed(ExchangeId id, ExchangeFailure failure,
                                    std::string_view reason) = 0;
    };

    /** Bounds of one client. */
    struct Limits
    {
        std::size_t answerBytes = 16U << 20U;
        std::uint16_t keepWarmSeconds = 30;
        unsigned connectTimeoutSeconds = 2;
    };

    /** @param connections the number of connection indexes, counted from 0 */
    HttpClient(EventLoop &loop, std::size_t connections, Limits limits, Listener &listener);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request over the connection of an index. The listener may be called at once. */
    void send(ExchangeId id, const Endpoint &endpoint, std::size_t connection, HttpRequest request);

    /** Closes the exchange's connection; the listener hears nothing more of the exchange. */
    void abandon(ExchangeId id);

    /** Returns how many exchanges are open. */
    std::size_t openExchanges() const { return this->exchanges.size(); }

private:
    struct Exchange;
    struct Protocols;
    friend struct HttpClientCallbacks;

    int appendHeaders(Exchange &exchange, lws *wsi, unsigned char **at, const unsigned char *end);
    /** Takes a request that waits for its answer off libwebsockets' sorted list of timeouts, which
        takes longer the more there are; callers bound their requests themselves. */
    void dropTimeoutSoon(ExchangeId id);
    int writeBody(Exchange &exchange, lws *wsi);
    void readHead(Exchange &exchange, lws *wsi);
    int readBody(Exchange &exchange, lws *wsi);
    int appendBody(Exchange &exchange, std::string_view bytes);
    void complete(ExchangeId id);
    void handOver(ExchangeId id);
    void fail(ExchangeId id, std::string_view reason);
    Exchange *find(ExchangeId id);

    EventLoop &loop;
    const Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    std::vector<lws_vhost *> vhosts;
    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
