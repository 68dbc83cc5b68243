#include "bulrush_net/http/HttpClient.h"

#include "bulrush_core/errors/Error.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <deque>
#include <string>

namespace bulrush {

namespace {

constexpr std::size_t readBufferBytes = 32768;

/** Non-standard response headers that are delivered to the listener. */
constexpr std::array<const char *, 6> customResponseHeaders {
    "bulrush-not-started", "bulrush-load",     "bulrush-leaving",
    "bulrush-outcome",     "bulrush-attempts", "bulrush-node",
};

std::string copyStandardHeader(lws *wsi, lws_token_indexes token)
{
    std::array<char, 256> text {};
    const int length = lws_hdr_copy(wsi, text.data(), text.size(), token);
    return length <= 0 ? std::string() : std::string(text.data(), static_cast<std::size_t>(length));
}

void copyCustomHeader(lws *wsi, const char *name, std::vector<HttpHeader> &headers)
{
    const std::string nameWithColon = std::string(name) + ":";
    const auto nameLength = static_cast<int>(nameWithColon.size());
    const int length = lws_hdr_custom_length(wsi, nameWithColon.c_str(), nameLength);
    std::array<char, 256> text {};
    if (length <= 0 || length >= static_cast<int>(text.size())) {
        return;
    }
    lws_hdr_custom_copy(wsi, text.data(), text.size(), nameWithColon.c_str(), nameLength);
    headers.push_back({ name, std::string(text.data(), static_cast<std::size_t>(length)) });
}

} // namespace

struct HttpClient::Exchange
{
    ExchangeId id = 0;
    lws *wsi = nullptr;
    HttpRequest request;
    HttpResponse response;
    std::string target;
    bool sendStarted = false;
    bool tooLarge = false;
    bool complete = false;
    /** Whether the peer announced "connection: close" for this response. */
    bool peerCloses = false;
    std::size_t sentBytes = 0;
};

struct HttpClient::Protocols
{
    std::array<lws_protocols, 2> entries {};
    /** Holds the vhost names, because libwebsockets stores pointers to them and no copies. */
    std::deque<std::string> vhostNames;
    HttpClient *owner = nullptr;
};

/** Dispatches libwebsockets callbacks to the client that owns the vhost. */
struct HttpClientCallbacks
{
    static int handle(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in,
                      std::size_t length)
    {
        const lws_protocols *protocol = lws_get_protocol(wsi);
        if (protocol == nullptr || protocol->user == nullptr) {
            return 0;
        }
        HttpClient *owner = static_cast<HttpClient::Protocols *>(protocol->user)->owner;
        if (owner == nullptr) {
            return 0;
        }
        HttpClient &client = *owner;
        const auto id = reinterpret_cast<HttpClient::ExchangeId>(lws_get_opaque_user_data(wsi));
        HttpClient::Exchange *exchange = client.find(id);
        if (exchange == nullptr) {
            return 0;
        }
        return dispatch(client, *exchange, wsi, reason, in, length);
    }

private:
    static int dispatch(HttpClient &client, HttpClient::Exchange &exchange, lws *wsi,
                        lws_callback_reasons reason, void *in, std::size_t length)
    {
        const std::string_view text(static_cast<const char *>(in), in == nullptr ? 0 : length);
        switch (reason) {
        case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
            auto **position = static_cast<unsigned char **>(in);
            return client.appendHeaders(exchange, wsi, position, *position + length);
        }
        case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
            return client.writeBody(exchange, wsi);
        case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
            client.readHead(exchange, wsi);
            return 0;
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
            return client.readBody(exchange, wsi);
        case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
            return client.appendBody(exchange, text);
        case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
            // A connection that the peer is about to close must not be reused for another request.
            client.complete(exchange.id);
            return exchange.peerCloses ? -1 : 0;
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
            client.fail(exchange.id, text.empty() ? "no connection" : text);
            return 0;
        case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
            client.fail(exchange.id, "connection closed before the complete response");
            return 0;
        default:
            return 0;
        }
    }
};

HttpClient::HttpClient(EventLoop &owningLoop, std::size_t connections, Limits clientLimits,
                       Listener &exchangeListener)
    : loop(owningLoop)
    , limits(clientLimits)
    , listener(exchangeListener)
    , protocols(std::make_shared<Protocols>())
    , readBuffer(LWS_PRE + readBufferBytes)
{
    this->loop.retain(this->protocols);
    this->protocols->owner = this;
    this->protocols->entries[0] = {
        "http-client", &HttpClientCallbacks::handle, 0, 0, 0, this->protocols.get(), 0
    };
    for (std::size_t index = 0; index < connections; ++index) {
        const std::string &name =
                this->protocols->vhostNames.emplace_back("http-client-" + std::to_string(index));
        lws_context_creation_info info = {};
        info.port = CONTEXT_PORT_NO_LISTEN;
        info.protocols = this->protocols->entries.data();
        info.vhost_name = name.c_str();
        info.connect_timeout_secs = this->limits.connectTimeoutSeconds;
        // The libwebsockets timeout for a response; the request's deadline is shorter.
        info.timeout_secs = 60;
        lws_vhost *vhost = lws_create_vhost(this->loop.context(), &info);
        if (vhost == nullptr) {
            throw Error("create client connections", name,
                        "libwebsockets could not create the vhost");
        }
        this->vhosts.push_back(vhost);
    }
}

HttpClient::~HttpClient()
{
    this->protocols->owner = nullptr;
    *this->alive = false;
}

void HttpClient::send(ExchangeId id, const Endpoint &endpoint, std::size_t connection,
                      HttpRequest request)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.id = id;
    exchange.request = std::move(request);
    exchange.target = percentEncoded(exchange.request.path);
    if (!exchange.request.query.empty()) {
        exchange.target += "?" + percentEncoded(exchange.request.query);
    }
    this->exchanges.emplace(id, std::move(owned));

    lws_client_connect_info info = {};
    info.context = this->loop.context();
    info.vhost = this->vhosts.at(connection);
    info.address = endpoint.address.c_str();
    info.port = endpoint.port;
    info.path = exchange.target.c_str();
    // libwebsockets reuses an idle connection only if host and address are the same string.
    info.host = endpoint.address.c_str();
    info.method = exchange.request.method.c_str();
    info.protocol = "http-client";
    info.local_protocol_name = "http-client";
    info.alpn = "http/1.1";
    info.ssl_connection = LCCSCF_PIPELINE;
    info.keep_warm_secs = this->limits.keepWarmSeconds;
    info.opaque_user_data = reinterpret_cast<void *>(id);
    info.pwsi = &exchange.wsi;
    if (lws_client_connect_via_info(&info) == nullptr) {
        this->fail(id, "the connection could not be opened");
    }
}

void HttpClient::abandon(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    lws *wsi = found->second->wsi;
    this->exchanges.erase(found);
    if (wsi != nullptr) {
        lws_set_opaque_user_data(wsi, nullptr);
        // Closes synchronously, so that the next request on this index opens a new connection.
        lws_set_timeout(wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_SYNC);
    }
}

int HttpClient::appendHeaders(Exchange &exchange, lws *wsi, unsigned char **position,
                              const unsigned char *end)
{
    exchange.sendStarted = true;
    this->listener.requestStarting(exchange.id);
    std::string lines;
    for (const HttpHeader &header : exchange.request.headers) {
        lines += header.name + ": " + header.value + "\r\n";
    }
    const std::string &method = exchange.request.method;
    const bool hasBody = !exchange.request.body.empty();
    if (hasBody || method == "POST" || method == "PUT" || method == "PATCH") {
        lines += "content-length: " + std::to_string(exchange.request.body.size()) + "\r\n";
    }
    if (static_cast<std::size_t>(end - *position) <= lines.size()) {
        return -1;
    }
    *position = std::copy(lines.begin(), lines.end(), *position);
    if (hasBody) {
        lws_client_http_body_pending(wsi, 1);
        lws_callback_on_writable(wsi);
    }
    return 0;
}

int HttpClient::writeBody(Exchange &exchange, lws *wsi)
{
    const std::string &body = exchange.request.body;
    const std::size_t chunk = std::min(readBufferBytes, body.size() - exchange.sentBytes);
    if (chunk == 0) {
        return 0;
    }
    const bool last = exchange.sentBytes + chunk == body.size();
    std::vector<unsigned char> buffer(LWS_PRE + chunk);
    std::copy_n(body.data() + exchange.sentBytes, chunk, buffer.data() + LWS_PRE);
    if (last) {
        lws_client_http_body_pending(wsi, 0);
    }
    const auto kind = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(wsi, buffer.data() + LWS_PRE, chunk, kind) < static_cast<int>(chunk)) {
        return -1;
    }
    exchange.sentBytes += chunk;
    if (last) {
        this->scheduleTimeoutRemoval(exchange.id);
    } else {
        lws_callback_on_writable(wsi);
    }
    return 0;
}

void HttpClient::scheduleTimeoutRemoval(ExchangeId id)
{
    // Deferred, because libwebsockets sets its timeout after this callback returns.
    this->loop.schedule(Duration::zero(), [this, id, aliveFlag = this->alive] {
        Exchange *exchange = *aliveFlag ? this->find(id) : nullptr;
        if (exchange != nullptr && exchange->wsi != nullptr) {
            lws_set_timeout(exchange->wsi, NO_PENDING_TIMEOUT, 0);
        }
    });
}

void HttpClient::readHead(Exchange &exchange, lws *wsi)
{
    exchange.response.status = static_cast<int>(lws_http_client_http_response(wsi));
    exchange.response.contentType = copyStandardHeader(wsi, WSI_TOKEN_HTTP_CONTENT_TYPE);
    exchange.peerCloses = copyStandardHeader(wsi, WSI_TOKEN_CONNECTION) == "close";
    const std::string retryAfter = copyStandardHeader(wsi, WSI_TOKEN_HTTP_RETRY_AFTER);
    if (!retryAfter.empty()) {
        exchange.response.headers.push_back({ "retry-after", retryAfter });
    }
    for (const char *name : customResponseHeaders) {
        copyCustomHeader(wsi, name, exchange.response.headers);
    }
}

int HttpClient::readBody(Exchange &exchange, lws *wsi)
{
    char *start = this->readBuffer.data() + LWS_PRE;
    auto length = static_cast<int>(readBufferBytes);
    if (lws_http_client_read(wsi, &start, &length) < 0) {
        return -1;
    }
    return exchange.tooLarge ? -1 : 0;
}

int HttpClient::appendBody(Exchange &exchange, std::string_view bytes)
{
    if (exchange.response.body.size() + bytes.size() > this->limits.maxResponseBytes) {
        exchange.tooLarge = true;
        return -1;
    }
    exchange.response.body.append(bytes);
    return 0;
}

void HttpClient::complete(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    // Delivers the response after this callback returns. Only then is the connection idle or
    // closed, so that a request sent on the same index is not queued behind this exchange.
    found->second->wsi = nullptr;
    found->second->complete = true;
    this->loop.schedule(Duration::zero(), [this, id, aliveFlag = this->alive] {
        if (*aliveFlag) {
            this->deliverResponse(id);
        }
    });
}

void HttpClient::deliverResponse(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    HttpResponse response = std::move(found->second->response);
    this->exchanges.erase(found);
    this->listener.responseArrived(id, std::move(response));
}

void HttpClient::fail(ExchangeId id, std::string_view reason)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end() || found->second->complete) {
        return;
    }
    ExchangeFailure failure = ExchangeFailure::NotSent;
    if (found->second->tooLarge) {
        failure = ExchangeFailure::TooLarge;
    } else if (found->second->sendStarted) {
        failure = ExchangeFailure::Lost;
    }
    const std::string ownedReason(reason);
    this->exchanges.erase(found);
    this->listener.exchangeFailed(id, failure, ownedReason);
}

HttpClient::Exchange *HttpClient::find(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : found->second.get();
}

} // namespace bulrush
