#pragma once

#include "bulrush_core/addresses/Endpoint.h"

#include <cstdint>
#include <span>

namespace bulrush {

/** Interface to connections that carry frames. */
class FrameLinks
{
public:
    /** Identifies a connection while it is open; never 0. */
    using LinkId = std::uint64_t;

    FrameLinks() = default;
    virtual ~FrameLinks() = default;
    FrameLinks(const FrameLinks &) = delete;
    FrameLinks &operator=(const FrameLinks &) = delete;

    /** Opens a connection asynchronously. */
    virtual LinkId connect(const Endpoint &endpoint) = 0;

    /** Queues a frame. Returns false when it cannot be sent. */
    virtual bool send(LinkId link, std::span<const std::uint8_t> frame) = 0;

    /** Closes a connection; no further events follow for it. */
    virtual void close(LinkId link) = 0;
};

} // namespace bulrush
