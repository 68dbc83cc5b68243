#include "bulrush_net/http/HttpClient.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_net/http/HttpResponseReader.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <utility>

namespace bulrush {

namespace {

constexpr std::size_t writeChunkBytes = 32768;

void *asOpaquePointer(std::uint64_t id)
{
    return reinterpret_cast<void *>(id);
}

std::string encode(const HttpRequest &request, const Endpoint &endpoint)
{
    std::string text = request.method + " " + percentEncoded(request.path);
    if (!request.query.empty()) {
        // Its values are encoded already, which only their caller can do.
        text += "?" + request.query;
    }
    text += " HTTP/1.1\r\n";
    if (headerValue(request.headers, "host").empty()) {
        text += "host: " + endpoint.text() + "\r\n";
    }
    for (const HttpHeader &header : request.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    const std::string &method = request.method;
    if (!request.body.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

} // namespace

/** An exchange on its connection. */
struct HttpClient::Exchange
{
    ExchangeId id = 0;
    /** The request, and how much of it is written. */
    std::string outgoing;
    std::size_t writtenBytes = 0;
    bool sendStarted = false;
    bool tooLarge = false;
};

struct HttpClient::Connection
{
    explicit Connection(std::size_t maxResponseBytes)
        : reader(maxResponseBytes)
    {
    }

    ConnectionId id = 0;
    ConnectionKey key;
    /** Null until libwebsockets has begun to connect. */
    lws *wsi = nullptr;
    bool open = false;
    /** Empty while the connection is idle. */
    std::optional<Exchange> exchange;
    Instant idleSince {};
    HttpResponseReader reader;
};

struct HttpClient::Protocols
{
    std::array<lws_protocols, 2> entries {};
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
        const auto id = reinterpret_cast<HttpClient::ConnectionId>(lws_get_opaque_user_data(wsi));
        HttpClient::Connection *connection = owner->find(id);
        if (connection == nullptr) {
            return 0;
        }
        const std::string_view text(static_cast<const char *>(in), in == nullptr ? 0 : length);
        switch (reason) {
        case LWS_CALLBACK_RAW_CONNECTED:
            owner->connected(*connection, wsi);
            return 0;
        case LWS_CALLBACK_RAW_WRITEABLE:
            return owner->writeRequest(*connection);
        case LWS_CALLBACK_RAW_RX:
            return owner->readResponse(*connection, text);
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
            owner->failConnection(*connection, text.empty() ? "no connection" : text);
            return 0;
        case LWS_CALLBACK_RAW_CLOSE:
            owner->connectionClosed(*connection);
            return 0;
        default:
            return 0;
        }
    }
};

HttpClient::HttpClient(EventLoop &owningLoop, Limits clientLimits, Listener &exchangeListener)
    : loop(owningLoop)
    , limits(clientLimits)
    , listener(exchangeListener)
    , protocols(std::make_shared<Protocols>())
{
    this->loop.retain(this->protocols);
    this->protocols->owner = this;
    this->protocols->entries[0] = { "http-client",
                                    &HttpClientCallbacks::handle,
                                    0,
                                    EventLoop::readBufferBytes,
                                    0,
                                    this->protocols.get(),
                                    0 };
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = this->protocols->entries.data();
    info.vhost_name = "http-client";
    info.connect_timeout_secs = this->limits.connectTimeoutSeconds;
    this->vhost = lws_create_vhost(this->loop.context(), &info);
    if (this->vhost == nullptr) {
        throw Error("create HTTP client", "", "libwebsockets could not create the vhost");
    }
    this->idleTimer = this->loop.scheduleEvery(this->limits.keepWarm / 2,
                                               [this] { this->closeIdleConnections(); });
}

HttpClient::~HttpClient()
{
    this->loop.cancel(this->idleTimer);
    this->protocols->owner = nullptr;
    *this->alive = false;
}

void HttpClient::send(ExchangeId id, const Endpoint &endpoint, std::size_t index,
                      const HttpRequest &request)
{
    const ConnectionKey key { endpoint, index };
    const auto found = this->connectionIds.find(key);
    Connection &connection = found == this->connectionIds.end()
            ? this->addConnection(key)
            : *this->connections.at(found->second);
    Exchange &exchange = connection.exchange.emplace();
    exchange.id = id;
    exchange.outgoing = encode(request, endpoint);
    connection.reader.begin(request.method != "HEAD");
    this->exchanges[id] = { connection.id };
    if (connection.open) {
        lws_callback_on_writable(connection.wsi);
    } else {
        this->connect(connection.id, endpoint);
    }
}

HttpClient::Connection &HttpClient::addConnection(const ConnectionKey &key)
{
    const ConnectionId id = this->nextConnection++;
    auto owned = std::make_unique<Connection>(this->limits.maxResponseBytes);
    owned->id = id;
    owned->key = key;
    this->connectionIds[key] = id;
    return *this->connections.emplace(id, std::move(owned)).first->second;
}

void HttpClient::connect(ConnectionId id, const Endpoint &endpoint)
{
    lws *wsi = nullptr;
    lws_client_connect_info info = {};
    info.context = this->loop.context();
    info.vhost = this->vhost;
    info.address = endpoint.address.c_str();
    info.port = endpoint.port;
    info.host = endpoint.address.c_str();
    info.path = "";
    info.method = "RAW";
    info.local_protocol_name = "http-client";
    info.opaque_user_data = asOpaquePointer(id);
    info.pwsi = &wsi;
    lws *const connecting = lws_client_connect_via_info(&info);
    // Callbacks during the call may already have removed the connection.
    Connection *connection = this->find(id);
    if (connection == nullptr) {
        return;
    }
    if (connecting == nullptr) {
        this->failConnection(*connection, "the connection could not be opened");
        return;
    }
    connection->wsi = connecting;
}

bool HttpClient::abandon(ExchangeId id)
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return false;
    }
    const OpenExchange open = found->second;
    this->exchanges.erase(found);
    Connection *connection = this->find(open.connection);
    if (connection == nullptr) {
        return open.failure != ExchangeFailure::NotSent;
    }
    const bool sendStarted = connection->exchange->sendStarted;
    this->close(*connection);
    return sendStarted;
}

void HttpClient::close(Connection &connection)
{
    lws *wsi = connection.wsi;
    this->remove(connection);
    if (wsi != nullptr) {
        lws_set_timeout(wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
    }
}

void HttpClient::remove(Connection &connection)
{
    if (connection.wsi != nullptr) {
        lws_set_opaque_user_data(connection.wsi, nullptr);
    }
    this->connectionIds.erase(connection.key);
    this->connections.erase(connection.id);
}

void HttpClient::closeIdleConnections()
{
    const Instant now = this->loop.now();
    std::vector<ConnectionId> idle;
    for (const auto &[id, connection] : this->connections) {
        if (!connection->exchange && now - connection->idleSince >= this->limits.keepWarm) {
            idle.push_back(id);
        }
    }
    for (const ConnectionId id : idle) {
        this->close(*this->connections.at(id));
    }
}

void HttpClient::connected(Connection &connection, lws *wsi)
{
    connection.wsi = wsi;
    connection.open = true;
    lws_callback_on_writable(wsi);
}

int HttpClient::writeRequest(Connection &connection)
{
    if (!connection.exchange) {
        return 0;
    }
    Exchange &exchange = *connection.exchange;
    const std::size_t left = exchange.outgoing.size() - exchange.writtenBytes;
    const std::size_t chunk = std::min(writeChunkBytes, left);
    if (chunk == 0) {
        return 0;
    }
    if (!exchange.sendStarted) {
        if (!this->listener.requestStarting(exchange.id)) {
            return -1;
        }
        exchange.sendStarted = true;
    }
    std::vector<unsigned char> buffer(LWS_PRE + chunk);
    std::copy_n(exchange.outgoing.data() + exchange.writtenBytes, chunk, buffer.data() + LWS_PRE);
    if (lws_write(connection.wsi, buffer.data() + LWS_PRE, chunk, LWS_WRITE_RAW) < 0) {
        return -1;
    }
    exchange.writtenBytes += chunk;
    if (exchange.writtenBytes < exchange.outgoing.size()) {
        this->listener.exchangeProgressed(exchange.id);
        lws_callback_on_writable(connection.wsi);
    } else {
        exchange.outgoing = std::string();
        exchange.writtenBytes = 0;
    }
    return 0;
}

int HttpClient::readResponse(Connection &connection, std::string_view bytes)
{
    if (!connection.exchange || !connection.exchange->sendStarted) {
        // No request was sent, so the bytes answer nothing.
        return -1;
    }
    switch (connection.reader.append(bytes)) {
    case HttpResponseReader::Status::Incomplete:
        this->listener.exchangeProgressed(connection.exchange->id);
        return 0;
    case HttpResponseReader::Status::Complete:
        return this->deliverResponse(connection) ? 0 : -1;
    case HttpResponseReader::Status::TooLarge:
        connection.exchange->tooLarge = true;
        return -1;
    case HttpResponseReader::Status::Malformed:
        return -1;
    }
    return -1;
}

bool HttpClient::deliverResponse(Connection &connection)
{
    const ExchangeId id = connection.exchange->id;
    const bool reusable = connection.open && connection.exchange->outgoing.empty()
            && connection.reader.connectionReusable();
    HttpResponse response = connection.reader.takeResponse();
    connection.exchange.reset();
    connection.idleSince = this->loop.now();
    this->exchanges.erase(id);
    if (!reusable) {
        this->remove(connection);
    }
    // The listener may use the connection again or destroy this client.
    this->listener.responseArrived(id, std::move(response));
    return reusable;
}

void HttpClient::connectionClosed(Connection &connection)
{
    connection.open = false;
    if (connection.exchange && !connection.exchange->tooLarge
        && connection.reader.appendEnd() == HttpResponseReader::Status::Complete) {
        this->deliverResponse(connection);
        return;
    }
    this->failConnection(connection, "the connection closed before the complete response");
}

void HttpClient::failConnection(Connection &connection, std::string_view reason)
{
    if (connection.exchange) {
        ExchangeFailure failure = ExchangeFailure::NotSent;
        if (connection.exchange->tooLarge) {
            failure = ExchangeFailure::TooLarge;
        } else if (connection.exchange->sendStarted) {
            failure = ExchangeFailure::Lost;
        }
        this->failLater(connection.exchange->id, failure, std::string(reason));
    }
    this->remove(connection);
}

void HttpClient::failLater(ExchangeId id, ExchangeFailure failure, std::string reason)
{
    this->exchanges[id] = { 0, failure };
    this->loop.schedule(Duration::zero(),
                        [this, id, failure, reason = std::move(reason), aliveFlag = this->alive] {
                            if (*aliveFlag && this->exchanges.erase(id) > 0) {
                                this->listener.exchangeFailed(id, failure, reason);
                            }
                        });
}

HttpClient::Connection *HttpClient::find(ConnectionId id)
{
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? nullptr : found->second.get();
}

} // namespace bulrush
