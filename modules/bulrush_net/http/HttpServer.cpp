#include "bulrush_net/http/HttpServer.h"

#include "bulrush_core/errors/Error.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace bulrush {

namespace {

constexpr std::size_t headerBufferBytes = 8192;
constexpr std::size_t bodyChunkBytes = 32768;
constexpr unsigned keepAliveSeconds = 60;

struct MethodToken
{
    lws_token_indexes token;
    const char *method;
};

constexpr std::array methodTokens {
    MethodToken { WSI_TOKEN_GET_URI, "GET" },     MethodToken { WSI_TOKEN_POST_URI, "POST" },
    MethodToken { WSI_TOKEN_PUT_URI, "PUT" },     MethodToken { WSI_TOKEN_DELETE_URI, "DELETE" },
    MethodToken { WSI_TOKEN_PATCH_URI, "PATCH" }, MethodToken { WSI_TOKEN_HEAD_URI, "HEAD" },
};

/** Standard request headers that are delivered to the listener. */
struct HeaderToken
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array headerTokens {
    HeaderToken { WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type" },
    HeaderToken { WSI_TOKEN_HTTP_AUTHORIZATION, "authorization" },
    HeaderToken { WSI_TOKEN_HTTP_ACCEPT, "accept" },
    HeaderToken { WSI_TOKEN_HOST, "host" },
};

/** Non-standard request headers that are delivered to the listener. */
constexpr std::array<const char *, 6> customHeaders {
    "idempotency-key",    "bulrush-deadline-ms", "bulrush-class",
    "bulrush-idempotent", "bulrush-key",         "bulrush-first-try",
};

std::string copyHeader(lws *wsi, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(wsi, token);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(wsi, text.data(), length + 1, token);
    text.resize(copied < 0 ? 0 : static_cast<std::size_t>(copied));
    return text;
}

std::string copyCustomHeader(lws *wsi, const std::string &nameWithColon)
{
    const auto nameLength = static_cast<int>(nameWithColon.size());
    const int length = lws_hdr_custom_length(wsi, nameWithColon.c_str(), nameLength);
    if (length <= 0) {
        return {};
    }
    std::string text(static_cast<std::size_t>(length) + 1, '\0');
    const int copied =
            lws_hdr_custom_copy(wsi, text.data(), length + 1, nameWithColon.c_str(), nameLength);
    text.resize(copied < 0 ? 0 : static_cast<std::size_t>(length));
    return text;
}

std::string copyQuery(lws *wsi)
{
    std::string query;
    std::array<char, 1024> fragment {};
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length < 0) {
            return query;
        }
        if (!query.empty()) {
            query.push_back('&');
        }
        query.append(fragment.data(), static_cast<std::size_t>(length));
    }
}

std::string requestMethod(lws *wsi)
{
    for (const MethodToken &entry : methodTokens) {
        if (lws_hdr_total_length(wsi, entry.token) > 0) {
            return entry.method;
        }
    }
    return {};
}

std::vector<HttpHeader> copyHeaders(lws *wsi, const std::vector<std::string> &extraNames)
{
    std::vector<HttpHeader> headers;
    for (const HeaderToken &entry : headerTokens) {
        std::string value = copyHeader(wsi, entry.token);
        if (!value.empty()) {
            headers.push_back({ entry.name, std::move(value) });
        }
    }
    for (const char *name : customHeaders) {
        std::string value = copyCustomHeader(wsi, std::string(name) + ":");
        if (!value.empty()) {
            headers.push_back({ name, std::move(value) });
        }
    }
    for (const std::string &name : extraNames) {
        std::string value = copyCustomHeader(wsi, name + ":");
        if (!value.empty()) {
            headers.push_back({ name, std::move(value) });
        }
    }
    return headers;
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
    std::size_t expectedBytes = 0;
    std::size_t sentBytes = 0;
    bool delivered = false;
    bool responseReady = false;
    bool headWritten = false;
};

/** Per-connection data, allocated and zero-initialised by libwebsockets. */
struct HttpServer::Session
{
    RequestId current;
    bool counted;
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
        if (reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED) {
            ++server.acceptedCount;
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
            return server.receiveBody(wsi, session, bytes);
        case LWS_CALLBACK_HTTP_BODY_COMPLETION:
            server.deliver(session);
            return 0;
        case LWS_CALLBACK_HTTP_WRITEABLE:
            return server.writeResponse(wsi, session);
        case LWS_CALLBACK_CLOSED_HTTP:
        case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
            server.connectionClosed(session);
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
}

HttpServer::~HttpServer()
{
    this->protocols->owner = nullptr;
}

int HttpServer::beginRequest(lws *wsi, Session &session, std::string_view path)
{
    if (!session.counted) {
        session.counted = true;
        ++this->connectionCount;
    }
    session.current = this->nextRequest++;
    auto exchange = std::make_unique<Exchange>();
    exchange->wsi = wsi;
    exchange->request.method = requestMethod(wsi);
    exchange->request.path = path;
    exchange->request.query = copyQuery(wsi);
    exchange->request.headers = copyHeaders(wsi, this->limits.headerNames);
    const std::string contentLength = copyHeader(wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (!contentLength.empty()) {
        exchange->expectedBytes = std::strtoull(contentLength.c_str(), nullptr, 10);
    }
    const bool tooLarge = exchange->expectedBytes > this->limits.maxRequestBytes;
    const bool hasBody = exchange->expectedBytes > 0;
    this->exchanges.emplace(session.current, std::move(exchange));
    if (this->connectionCount > this->limits.maxConnections) {
        return this->reject(wsi, session, 503, "too many connections");
    }
    if (tooLarge) {
        return this->reject(wsi, session, 413, "the request is too large");
    }
    if (lws_hdr_total_length(wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0) {
        return this->reject(wsi, session, 411, "a request needs Content-Length");
    }
    if (!hasBody) {
        this->deliver(session);
    }
    return 0;
}

int HttpServer::receiveBody(lws *wsi, Session &session, std::string_view bytes)
{
    const auto found = this->exchanges.find(session.current);
    if (found == this->exchanges.end() || found->second->delivered) {
        return 0;
    }
    std::string &body = found->second->request.body;
    if (body.size() + bytes.size() > this->limits.maxRequestBytes) {
        return this->reject(wsi, session, 413, "the request is too large");
    }
    body.append(bytes);
    return 0;
}

void HttpServer::deliver(Session &session)
{
    const auto found = this->exchanges.find(session.current);
    if (found == this->exchanges.end() || found->second->delivered) {
        return;
    }
    found->second->delivered = true;
    this->listener.requestArrived(session.current, std::move(found->second->request));
}

int HttpServer::reject(lws *wsi, Session &session, int status, std::string_view reason)
{
    Exchange &exchange = *this->exchanges.at(session.current);
    exchange.delivered = true;
    exchange.responseReady = true;
    exchange.response.status = status;
    exchange.response.body = R"({"error":")" + std::string(reason) + "\"}";
    exchange.response.headers.push_back({ "connection", "close" });
    lws_callback_on_writable(wsi);
    return 0;
}

void HttpServer::respond(RequestId id, HttpResponse response)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    found->second->response = std::move(response);
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
    const bool close = headerValue(exchange.response.headers, "connection") == "close";
    this->exchanges.erase(found);
    session.current = 0;
    return close || lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

void HttpServer::connectionClosed(Session &session)
{
    if (session.counted) {
        session.counted = false;
        --this->connectionCount;
    }
    const auto found = this->exchanges.find(session.current);
    if (found == this->exchanges.end()) {
        return;
    }
    const bool unanswered = found->second->delivered && !found->second->responseReady;
    this->exchanges.erase(found);
    if (unanswered) {
        this->listener.clientDisconnected(session.current);
    }
    session.current = 0;
}

} // namespace bulrush
