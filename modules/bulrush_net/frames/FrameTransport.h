#pragma once

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
    Sends and receives frames over TCP: a length of four bytes, least significant first, then the
    frame's bytes.
*/
class FrameTransport
{
public:
    /** Names one connection while it is open. */
    using LinkId = std::uint64_t;

    /** Receives what happens on connections. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when a connection is open. @param accepted whether the other side opened it */
        virtual void linkOpened(LinkId link, bool accepted) = 0;

        /** Called for each whole frame; the bytes are valid during the call only. */
        virtual void frameArrived(LinkId link, std::span<const std::uint8_t> frame) = 0;

        /** Called when a connection closed or could not be opened. */
        virtual void linkClosed(LinkId link, std::string_view reason) = 0;
    };

    /** Bounds of every connection. */
    struct Limits
    {
        std::size_t frameBytes = 4U << 20U;
        std::size_t waitingBytes = 16U << 20U;
    };

    /** Listens at once. @throws Error when the endpoint cannot be bound */
    FrameTransport(EventLoop &loop, const Endpoint &endpoint, Limits limits, Listener &listener);
    ~FrameTransport();

    FrameTransport(const FrameTransport &) = delete;
    FrameTransport &operator=(const FrameTransport &) = delete;

    /** Opens a connection; the listener hears of its opening or closing later. */
    LinkId connect(const Endpoint &endpoint);

    /** Queues a frame. Returns false when the link is not open or too much waits already. */
    bool send(LinkId link, std::span<const std::uint8_t> frame);

    /** Closes a connection; the listener hears nothing more of it. */
    void close(LinkId link);

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
