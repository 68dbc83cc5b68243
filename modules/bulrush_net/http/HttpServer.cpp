#include "bulrush_net/http/HttpServer.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_net/http/RequestHead.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <utility>

namespace bulrush {

namespace {

constexpr std::size_t headerBufferBytes = 8192;
constexpr std::size_t bodyChunkBytes = 32768;
constexpr unsigned keepAliveSeconds = 60;

/** Interval at which the time limits are enforced. */
constexpr milliseconds sweepInterval { 250 };

/** How much of a refused body is read and discarded, so that its sender gets the answer: closing a
    connection with unread bytes resets it. */
constexpr std::size_t maxDiscardedBytes = 512U << 10U;

/** The share of the connections that are accepted beyond the limit, to be answered 503. */
constexpr std::size_t refusableShareDivisor = 8;

constexpr int statusTimeout = 408;
constexpr int statusLengthRequired = 411;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

/** After how many seconds a refused client may try again. */
constexpr const char *retryAfterSeconds = "1";

std::string_view reasonOf(int status)
{
    switch (status) {
    case statusTimeout:
        return "the body arrives too slowly";
    case statusLengthRequired:
        return "a request needs Content-Length";
    case statusTooLarge:
        return "the request is too large";
    default:
        return "too many connections or bodies";
    }
}

bool usuallyHasBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

ConnectionTable::ConnectionId idOf(lws *wsi)
{
    return reinterpret_cast<ConnectionTable::ConnectionId>(wsi);
}

/** Returns how many bytes a connection has received since it was opened. */
std::uint64_t receivedBytes(lws *wsi)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    const bool known =
            getsockopt(lws_get_socket_fd(wsi), IPPROTO_TCP, TCP_INFO, &info, &length) == 0;
    return known ? info.tcpi_bytes_received : 0;
}

const unsigned char *asBytes(const std::string &text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

struct HttpServer::Exchange
{
    lws *wsi = nullptr;
    HttpRequest request;
    HttpResponse response;
    std::size_t sentBytes = 0;
    std::size_t announcedBytes = 0;
    bool bodyComplete = false;
    /** Whether the connection closes after the response, because a body that was not announced may
        follow the head. */
    bool closes = false;
    bool delivered = false;
    bool responseReady = false;
    bool headWritten = false;
};

/** Per-connection data, allocated and zero-initialised by libwebsockets. */
struct HttpServer::Session
{
    RequestId current;
    /** Bytes of a refused body that were discarded. */
    std::size_t discardedBytes;
    bool discardsBody;
};

struct HttpServer::Protocols
{
    std::array<lws_protocols, 2> entries {};
    HttpServer *owner = nullptr;
};

/** Dispatches libwebsockets callbacks to the server that owns the vhost. */
struct HttpServerCallbacks
{
    static int handle(lws *wsi, lws_callback_reasons reason, void *user, void *in,
                      std::size_t length)
    {
        const lws_protocols *protocol = lws_get_protocol(wsi);
        if (protocol == nullptr || protocol->user == nullptr) {
            return 0;
        }
        HttpServer *owner = static_cast<HttpServer::Protocols *>(protocol->user)->owner;
        if (owner == nullptr) {
            return 0;
        }
        HttpServer &server = *owner;
        if (reason == LWS_CALLBACK_FILTER_NETWORK_CONNECTION) {
            return server.acceptsConnection() ? 0 : -1;
        }
        if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED) {
            server.connectionOpened(wsi);
        }
        if (reason == LWS_CALLBACK_WSI_DESTROY) {
            server.connections.closed(idOf(wsi));
            server.receivedBefore.erase(idOf(wsi));
        }
        if (user == nullptr) {
            return 0;
        }
        auto &session = *static_cast<HttpServer::Session *>(user);
        const std::string_view bytes(static_cast<const char *>(in), in == nullptr ? 0 : length);
        switch (reason) {
        case LWS_CALLBACK_HTTP:
            return server.beginRequest(wsi, session, bytes);
        case LWS_CALLBACK_HTTP_BODY:
            return server.receiveBody(session, bytes);
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
            return server.completeBody(session);
        case LWS_CALLBACK_HTTP_WRITEABLE:
            return server.writeResponse(wsi, session);
        case LWS_CALLBACK_CLOSED_HTTP:
        case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
            server.requestDisconnected(session);
            return 0;
        default:
            return 0;
        }
    }
};

HttpServer::HttpServer(EventLoop &owningLoop, const Endpoint &listenEndpoint, Limits serverLimits,
                       Listener &requestListener)
    : loop(owningLoop)
    , endpoint(listenEndpoint)
    , limits(std::move(serverLimits))
    , listener(requestListener)
    , protocols(std::make_shared<Protocols>())
    , budget(this->limits.bodyBudgetBytes)
{
    this->loop.retain(this->protocols);
    this->protocols->owner = this;
    this->protocols->entries[0] = {
        "http", &HttpServerCallbacks::handle, sizeof(Session), 0, 0, this->protocols.get(), 0
    };
    lws_context_creation_info info = {};
    info.port = this->endpoint.port;
    info.iface = this->endpoint.address.c_str();
    info.protocols = this->protocols->entries.data();
    info.vhost_name = "http-server";
    info.keepalive_timeout = keepAliveSeconds;
    info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
    this->vhost = lws_create_vhost(this->loop.context(), &info);
    if (this->vhost == nullptr) {
        throw Error("listen", this->endpoint.text(), "the endpoint cannot be bound");
    }
    this->sweepTimer = this->loop.scheduleEvery(sweepInterval, [this] { this->sweep(); });
}

HttpServer::~HttpServer()
{
    this->loop.cancel(this->sweepTimer);
    this->protocols->owner = nullptr;
}

void HttpServer::setLimits(std::size_t maxRequestBytes, const ConnectionTimes &times)
{
    this->limits.maxRequestBytes = maxRequestBytes;
    this->limits.times = times;
}

bool HttpServer::acceptsConnection()
{
    const std::size_t max = this->limits.maxConnections;
    if (this->connections.activeCount() >= max) {
        this->noteBegunHeaders();
    }
    while (this->connections.activeCount() >= max) {
        const auto displaced = this->connections.displaceable(this->loop.now());
        if (!displaced) {
            break;
        }
        ++this->refused.displacedConnections;
        this->closeConnection(*displaced);
    }
    const bool accepts = this->connections.size() < max + max / refusableShareDivisor;
    this->refused.connections += accepts ? 0U : 1U;
    return accepts;
}

void HttpServer::connectionOpened(lws *wsi)
{
    ++this->acceptedCount;
    const bool beyondLimit = this->connections.activeCount() >= this->limits.maxConnections;
    this->connections.opened(idOf(wsi), beyondLimit, this->loop.now());
}

void HttpServer::closeConnection(ConnectionTable::ConnectionId id)
{
    this->connections.closing(id);
    // Not at once, because this may be a callback of another connection.
    lws_set_timeout(reinterpret_cast<lws *>(id), PENDING_TIMEOUT_USER_REASON_BASE,
                    LWS_TO_KILL_ASYNC);
}

void HttpServer::sweep()
{
    this->noteBegunHeaders();
    const Instant now = this->loop.now();
    for (const ConnectionTable::ConnectionId id :
         this->connections.overdue(this->limits.times, now)) {
        const std::size_t before = this->connections.activeCount();
        this->closeConnection(id);
        this->refused.overdueConnections += before - this->connections.activeCount();
    }
    const std::vector<RequestId> slow = this->budget.overdue(now);
    this->refused.slowUploads += slow.size();
    this->rejectUploads(slow, statusTimeout);
}

void HttpServer::noteBegunHeaders()
{
    for (const ConnectionTable::ConnectionId id : this->connections.waiting()) {
        const auto before = this->receivedBefore.find(id);
        const std::uint64_t expected = before == this->receivedBefore.end() ? 0 : before->second;
        if (receivedBytes(reinterpret_cast<lws *>(id)) > expected) {
            this->connections.headerBegan(id, this->loop.now());
        }
    }
}

int HttpServer::beginRequest(lws *wsi, Session &session, std::string_view path)
{
    if (this->connections.isClosing(idOf(wsi))) {
        // Its answer could not be sent any more, so the request must not take effect.
        return -1;
    }
    const RequestId id = this->nextRequest++;
    session.current = id;
    session.discardsBody = false;
    session.discardedBytes = 0;
    this->connections.requestBegan(idOf(wsi));
    RequestHead head = readRequestHead(wsi, path, this->limits.headerNames);
    const bool beyondLimit = this->connections.isBeyondLimit(idOf(wsi));
    const int refusal = this->refusalOf(head, id, beyondLimit);
    const std::size_t bodyBytes = head.announcedBytes.value_or(0);
    Exchange &exchange = *this->exchanges.emplace(id, std::make_unique<Exchange>()).first->second;
    exchange.wsi = wsi;
    exchange.request = std::move(head.request);
    exchange.announcedBytes = bodyBytes;
    exchange.closes = !head.announcedBytes && usuallyHasBody(exchange.request.method);
    exchange.bodyComplete = bodyBytes == 0 && !head.chunked && !exchange.closes;
    if (refusal != 0) {
        this->reject(id, exchange, refusal);
    } else if (bodyBytes == 0) {
        this->deliver(id, exchange);
    } else {
        exchange.request.body.reserve(bodyBytes);
    }
    return 0;
}

int HttpServer::refusalOf(const RequestHead &head, RequestId id, bool beyondLimit)
{
    if (beyondLimit) {
        ++this->refused.connections;
        return statusUnavailable;
    }
    const std::size_t bytes = head.announcedBytes.value_or(0);
    if (bytes > this->limits.maxRequestBytes || !this->budget.canHold(bytes)) {
        ++this->refused.tooLarge;
        return statusTooLarge;
    }
    if (head.chunked) {
        return statusLengthRequired;
    }
    if (bytes == 0) {
        return 0;
    }
    const BodyBudget::Decision decision = this->budget.announce(id, bytes, this->loop.now());
    this->refused.displacedUploads += decision.displaced.size();
    this->rejectUploads(decision.displaced, statusUnavailable);
    this->refused.noMemory += decision.admitted ? 0U : 1U;
    return decision.admitted ? 0 : statusUnavailable;
}

int HttpServer::receiveBody(Session &session, std::string_view bytes)
{
    const auto found = this->exchanges.find(session.current);
    if (session.discardsBody || found == this->exchanges.end() || found->second->delivered) {
        session.discardedBytes += bytes.size();
        return session.discardedBytes > maxDiscardedBytes ? -1 : 0;
    }
    std::string &body = found->second->request.body;
    if (body.size() + bytes.size() > found->second->announcedBytes) {
        // More than was announced.
        ++this->refused.tooLarge;
        this->reject(session.current, *found->second, statusTooLarge);
        return 0;
    }
    body.append(bytes);
    this->budget.received(session.current, bytes.size());
    return 0;
}

int HttpServer::completeBody(Session &session)
{
    if (session.discardsBody) {
        // The refusal has been sent.
        return -1;
    }
    const auto found = this->exchanges.find(session.current);
    if (found != this->exchanges.end()) {
        found->second->bodyComplete = true;
        if (!found->second->delivered) {
            this->deliver(session.current, *found->second);
        }
    }
    return 0;
}

void HttpServer::deliver(RequestId id, Exchange &exchange)
{
    exchange.delivered = true;
    this->budget.completed(id);
    this->listener.requestArrived(id, std::move(exchange.request));
}

void HttpServer::reject(RequestId id, Exchange &exchange, int status)
{
    this->budget.release(id);
    exchange.request = {};
    exchange.delivered = true;
    exchange.responseReady = true;
    exchange.response.status = status;
    exchange.response.body = R"({"error":")" + std::string(reasonOf(status)) + "\"}";
    exchange.response.headers.push_back({ "connection", "close" });
    if (status == statusUnavailable) {
        exchange.response.headers.push_back({ "retry-after", retryAfterSeconds });
    }
    lws_callback_on_writable(exchange.wsi);
}

void HttpServer::rejectUploads(const std::vector<RequestId> &uploads, int status)
{
    for (const RequestId id : uploads) {
        const auto found = this->exchanges.find(id);
        if (found != this->exchanges.end() && !found->second->delivered) {
            this->reject(id, *found->second, status);
        }
    }
}

void HttpServer::respond(RequestId id, HttpResponse response)
{
    this->budget.release(id);
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    found->second->response = std::move(response);
    if (found->second->closes) {
        found->second->response.headers.push_back({ "connection", "close" });
    }
    found->second->responseReady = true;
    lws_callback_on_writable(found->second->wsi);
}

namespace {

/** Writes the status line and headers. @returns whether the connection is still usable */
bool writeHead(lws *wsi, const HttpResponse &response)
{
    std::array<unsigned char, LWS_PRE + headerBufferBytes> buffer {};
    unsigned char *start = buffer.data() + LWS_PRE;
    unsigned char *position = start;
    unsigned char *end = buffer.data() + buffer.size() - 1;
    const auto status = static_cast<unsigned>(response.status);
    if (lws_add_http_common_headers(wsi, status, response.contentType.c_str(), response.body.size(),
                                    &position, end)
        != 0) {
        return false;
    }
    for (const HttpHeader &header : response.headers) {
        const std::string name = header.name + ":";
        if (lws_add_http_header_by_name(wsi, asBytes(name), asBytes(header.value),
                                        static_cast<int>(header.value.size()), &position, end)
            != 0) {
            return false;
        }
    }
    return lws_finalize_write_http_header(wsi, start, &position, end) == 0;
}

} // namespace

int HttpServer::writeResponse(lws *wsi, Session &session)
{
    const auto found = this->exchanges.find(session.current);
    if (found == this->exchanges.end() || !found->second->responseReady) {
        return 0;
    }
    Exchange &exchange = *found->second;
    const std::string &body = exchange.response.body;
    if (!exchange.headWritten) {
        exchange.headWritten = true;
        if (!writeHead(wsi, exchange.response)) {
            return -1;
        }
        if (!body.empty()) {
            lws_callback_on_writable(wsi);
            return 0;
        }
    }
    const std::size_t chunk = std::min(bodyChunkBytes, body.size() - exchange.sentBytes);
    const bool last = exchange.sentBytes + chunk == body.size();
    if (chunk > 0) {
        std::vector<unsigned char> buffer(LWS_PRE + chunk);
        std::copy_n(body.data() + exchange.sentBytes, chunk, buffer.data() + LWS_PRE);
        const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
        if (lws_write(wsi, buffer.data() + LWS_PRE, chunk, kind) < static_cast<int>(chunk)) {
            return -1;
        }
        exchange.sentBytes += chunk;
    }
    // Until the socket has taken all of it, the rest would be lost if the process ended.
    if (!last || lws_partial_buffered(wsi) != 0) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    return this->endResponse(wsi, session);
}

int HttpServer::endResponse(lws *wsi, Session &session)
{
    const auto found = this->exchanges.find(session.current);
    const Exchange &exchange = *found->second;
    const bool close =
            exchange.closes || headerValue(exchange.response.headers, "connection") == "close";
    const bool bodyComplete = exchange.bodyComplete;
    this->exchanges.erase(found);
    session.current = 0;
    if (close && !bodyComplete) {
        session.discardsBody = true;
        this->connections.refused(idOf(wsi), this->loop.now());
        return 0;
    }
    if (close) {
        // Its peer may leave it half open.
        this->connections.refused(idOf(wsi), this->loop.now());
        return -1;
    }
    this->connections.requestEnded(idOf(wsi), this->loop.now());
    this->receivedBefore[idOf(wsi)] = receivedBytes(wsi);
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void HttpServer::requestDisconnected(Session &session)
{
    const auto found = this->exchanges.find(session.current);
    if (found == this->exchanges.end()) {
        return;
    }
    const bool unanswered = found->second->delivered && !found->second->responseReady;
    this->exchanges.erase(found);
    if (!unanswered || !this->limits.requestsOutliveClients) {
        this->budget.release(session.current);
    }
    if (unanswered) {
        this->listener.clientDisconnected(session.current);
    }
    session.current = 0;
}

} // namespace bulrush
