#include "bulrush_net/frames/FrameTransport.h"

#include "bulrush_core/errors/Error.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace bulrush {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t writeChunkBytes = 65536;

std::size_t readLength(std::span<const std::uint8_t> bytes)
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        length |= static_cast<std::size_t>(bytes[index]) << (8 * index);
    }
    return length;
}

void appendLength(std::vector<std::uint8_t> &buffer, std::size_t length)
{
    for (std::size_t index = 0; index < lengthBytes; ++index) {
        buffer.push_back(static_cast<std::uint8_t>(length >> (8 * index)));
    }
}

void *asOpaquePointer(FrameTransport::LinkId id)
{
    return reinterpret_cast<void *>(id);
}

} // namespace

struct FrameTransport::Link
{
    lws *wsi = nullptr;
    bool open = false;
    std::vector<std::uint8_t> incoming;
    std::vector<std::uint8_t> outgoing;
    std::size_t written = 0;
};

struct FrameTransport::Protocols
{
    std::array<lws_protocols, 2> entries {};
    FrameTransport *owner = nullptr;
};

/** Dispatches libwebsockets callbacks to the transport that owns the vhost. */
struct FrameCallbacks
{
    static int handle(lws *wsi, lws_callback_reasons reason, void * /*user*/, void *in,
                      std::size_t length)
    {
        const lws_protocols *protocol = lws_get_protocol(wsi);
        if (protocol == nullptr || protocol->user == nullptr) {
            return 0;
        }
        FrameTransport *owner = static_cast<FrameTransport::Protocols *>(protocol->user)->owner;
        if (owner == nullptr) {
            return 0;
        }
        FrameTransport &transport = *owner;
        if (reason == LWS_CALLBACK_RAW_ADOPT) {
            transport.accepted(wsi);
            return 0;
        }
        const auto id = reinterpret_cast<FrameTransport::LinkId>(lws_get_opaque_user_data(wsi));
        if (id == 0) {
            return 0;
        }
        switch (reason) {
        case LWS_CALLBACK_RAW_CONNECTED:
            transport.connected(id);
            return 0;
        case LWS_CALLBACK_RAW_RX:
            return transport.received(id, { static_cast<const std::uint8_t *>(in), length });
        case LWS_CALLBACK_RAW_WRITEABLE:
            return transport.writable(id);
        case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
            transport.closed(id, "the connection could not be opened");
            return 0;
        case LWS_CALLBACK_RAW_CLOSE:
            transport.closed(id, "the connection closed");
            return 0;
        default:
            return 0;
        }
    }
};

FrameTransport::FrameTransport(EventLoop &owningLoop, const Endpoint &listenEndpoint,
                               Limits linkLimits, Listener &linkListener)
    : loop(owningLoop)
    , endpoint(listenEndpoint)
    , limits(linkLimits)
    , listener(linkListener)
    , protocols(std::make_shared<Protocols>())
{
    this->loop.retain(this->protocols);
    this->protocols->owner = this;
    this->protocols->entries[0] = { "frames", &FrameCallbacks::handle, 0, 0,
                                    0,        this->protocols.get(),   0 };
    lws_context_creation_info info = {};
    info.port = this->endpoint.port;
    info.iface = this->endpoint.address.c_str();
    info.protocols = this->protocols->entries.data();
    info.vhost_name = "frames";
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "frames";
    info.options =
            LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.connect_timeout_secs = 2;
    this->vhost = lws_create_vhost(this->loop.context(), &info);
    if (this->vhost == nullptr) {
        throw Error("listen", this->endpoint.text(), "the endpoint cannot be bound");
    }
}

FrameTransport::~FrameTransport()
{
    this->protocols->owner = nullptr;
}

FrameTransport::LinkId FrameTransport::connect(const Endpoint &peer)
{
    const LinkId id = this->nextLink++;
    auto owned = std::make_unique<Link>();
    Link &link = *owned;
    this->links.emplace(id, std::move(owned));
    lws_client_connect_info info = {};
    info.context = this->loop.context();
    info.vhost = this->vhost;
    info.address = peer.address.c_str();
    info.port = peer.port;
    info.host = peer.address.c_str();
    info.path = "";
    info.method = "RAW";
    info.local_protocol_name = "frames";
    info.opaque_user_data = asOpaquePointer(id);
    info.pwsi = &link.wsi;
    lws_client_connect_via_info(&info);
    return id;
}

bool FrameTransport::send(LinkId id, std::span<const std::uint8_t> frame)
{
    const auto found = this->links.find(id);
    if (found == this->links.end() || !found->second->open) {
        return false;
    }
    Link &link = *found->second;
    const std::size_t queuedBytes = link.outgoing.size() - link.written;
    if (frame.size() > this->limits.maxFrameBytes
        || queuedBytes + frame.size() > this->limits.maxQueuedBytes) {
        return false;
    }
    appendLength(link.outgoing, frame.size());
    link.outgoing.insert(link.outgoing.end(), frame.begin(), frame.end());
    lws_callback_on_writable(link.wsi);
    return true;
}

void FrameTransport::close(LinkId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return;
    }
    lws *wsi = found->second->wsi;
    this->links.erase(found);
    if (wsi != nullptr) {
        lws_set_opaque_user_data(wsi, nullptr);
        lws_set_timeout(wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
    }
}

void FrameTransport::accepted(lws *wsi)
{
    if (lws_get_opaque_user_data(wsi) != nullptr) {
        return;
    }
    const LinkId id = this->nextLink++;
    auto link = std::make_unique<Link>();
    link->wsi = wsi;
    link->open = true;
    lws_set_opaque_user_data(wsi, asOpaquePointer(id));
    this->links.emplace(id, std::move(link));
    this->listener.linkOpened(id, true);
}

void FrameTransport::connected(LinkId id)
{
    const auto found = this->links.find(id);
    if (found != this->links.end()) {
        found->second->open = true;
        this->listener.linkOpened(id, false);
    }
}

int FrameTransport::received(LinkId id, std::span<const std::uint8_t> bytes)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return -1;
    }
    std::vector<std::uint8_t> buffer = std::move(found->second->incoming);
    buffer.insert(buffer.end(), bytes.begin(), bytes.end());
    std::span<const std::uint8_t> unread(buffer);
    while (unread.size() >= lengthBytes) {
        const std::size_t length = readLength(unread);
        if (length > this->limits.maxFrameBytes) {
            return -1;
        }
        if (unread.size() - lengthBytes < length) {
            break;
        }
        this->listener.frameArrived(id, unread.subspan(lengthBytes, length));
        unread = unread.subspan(lengthBytes + length);
    }
    const auto remaining = this->links.find(id);
    if (remaining == this->links.end()) {
        return -1;
    }
    remaining->second->incoming.assign(unread.begin(), unread.end());
    return 0;
}

int FrameTransport::writable(LinkId id)
{
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
        return -1;
    }
    Link &link = *found->second;
    const std::size_t chunk = std::min(writeChunkBytes, link.outgoing.size() - link.written);
    if (chunk == 0) {
        return 0;
    }
    std::vector<unsigned char> buffer(LWS_PRE + chunk);
    std::copy_n(link.outgoing.data() + link.written, chunk, buffer.data() + LWS_PRE);
    if (lws_write(link.wsi, buffer.data() + LWS_PRE, chunk, LWS_WRITE_RAW) < 0) {
        return -1;
    }
    link.written += chunk;
    if (link.written == link.outgoing.size()) {
        link.outgoing.clear();
        link.written = 0;
    } else {
        lws_callback_on_writable(link.wsi);
    }
    return 0;
}

void FrameTransport::closed(LinkId id, std::string_view reason)
{
    if (this->links.erase(id) > 0) {
        this->listener.linkClosed(id, reason);
    }
}

} // namespace bulrush
