#pragma once

#include "bulrush_net/frames/FrameLinks.h"
#include "bulrush_net/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>

struct lws;

namespace bulrush {

/**
    Sends and receives frames over TCP. Each frame is preceded by its length in bytes as a
    four-byte little-endian integer.
*/
class FrameTransport : public FrameLinks
{
public:
    /** Receives the events of all connections. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when a connection is open. @param accepted whether the peer opened it */
        virtual void linkOpened(LinkId link, bool accepted) = 0;

        /** Called for each complete frame; the bytes are valid only during the call. */
        virtual void frameArrived(LinkId link, std::span<const std::uint8_t> frame) = 0;

        /** Called when a connection could not be opened, or was closed other than by close(). */
        virtual void linkClosed(LinkId link, std::string_view reason) = 0;
    };

    /** Limits that apply to each connection. */
    struct Limits
    {
        std::size_t maxFrameBytes = 4U << 20U;
        std::size_t maxQueuedBytes = 16U << 20U;
    };

    /** Starts listening. @throws Error when the endpoint cannot be bound */
    FrameTransport(EventLoop &loop, const Endpoint &endpoint, Limits limits, Listener &listener);
    ~FrameTransport() override;

    /** Opens a connection asynchronously; the listener is notified when it opens or fails. */
    LinkId connect(const Endpoint &endpoint) override;

    /** Queues a frame. Returns false when the link is not open, the frame is larger than
        maxFrameBytes, or the queue would exceed maxQueuedBytes. */
    bool send(LinkId link, std::span<const std::uint8_t> frame) override;

    /** Closes a connection; the listener receives no further events for it. */
    void close(LinkId link) override;

private:
    struct Link;
    struct Protocols;
    friend struct FrameCallbacks;

    void accepted(lws *wsi);
    void connected(LinkId id);
    int received(LinkId id, std::span<const std::uint8_t> bytes);
    int writable(LinkId id);
    void closed(LinkId id, std::string_view reason);

    EventLoop &loop;
    const Endpoint endpoint;
    const Limits limits;
    Listener &listener;
    std::shared_ptr<Protocols> protocols;
    lws_vhost *vhost = nullptr;
    std::map<LinkId, std::unique_ptr<Link>> links;
    LinkId nextLink = 1;
};

} // namespace bulrush
