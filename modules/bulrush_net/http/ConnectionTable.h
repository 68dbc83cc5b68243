#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/** Time limits of connections from clients. */
struct ConnectionTimes
{
    /** From the first byte of a request's header to its last one. */
    milliseconds header { 20'000 };
    /** Without a request. */
    milliseconds idle { 60'000 };
};

/**
    Keeps what is known of a server's connections, and decides which of them are closed: those
    beyond the time limits, and, to make room for new ones, those that wait for a request.

    A pure class: it has neither sockets nor a clock.
*/
class ConnectionTable
{
public:
    using ConnectionId = std::uintptr_t;

    /** How long a connection must have waited for a request before it is closed for a new one. */
    static constexpr milliseconds displaceableWait { 250 };

    /** How long a connection stays open after a refusal, so that the client can read the answer
        while it still sends. */
    static constexpr milliseconds lingerTime { 1000 };

    /** @param beyondLimit whether it is one too many, so that its request is refused */
    void opened(ConnectionId id, bool beyondLimit, Instant now);
    bool isBeyondLimit(ConnectionId id) const;
    bool isClosing(ConnectionId id) const;
    void closed(ConnectionId id);
    void requestBegan(ConnectionId id);

    /** Notes that a connection waits for its next request. */
    void requestEnded(ConnectionId id, Instant now);

    /** Notes that a request was refused whose body has not arrived completely. */
    void refused(ConnectionId id, Instant now);

    /** Notes that a connection is being closed. */
    void closing(ConnectionId id);

    /** Notes that a part of the next request's header has arrived, unless that is known. */
    void headerBegan(ConnectionId id, Instant now);

    /** Returns the connections that wait for a request. */
    std::vector<ConnectionId> waiting() const;

    /** Returns the connections that exceed a time limit. */
    std::vector<ConnectionId> overdue(const ConnectionTimes &times, Instant now) const;

    /** Returns the connection that is closed first in favour of a new one: one that never completed
        a request before one that did, and the longest wait first. */
    std::optional<ConnectionId> displaceable(Instant now) const;

    /** Returns the number of connections, including those that are being closed. */
    std::size_t size() const { return this->connections.size(); }

    /** Returns the number of connections that are not being closed. */
    std::size_t activeCount() const { return this->connections.size() - this->closingCount; }

private:
    struct Connection
    {
        Instant waitsSince {};
        std::optional<Instant> headerSince;
        std::optional<Instant> refusedAt;
        bool hasRequest = false;
        bool hadRequest = false;
        bool closing = false;
        bool beyondLimit = false;
    };

    static bool isOverdue(const Connection &connection, const ConnectionTimes &times, Instant now);

    std::map<ConnectionId, Connection> connections;
    std::size_t closingCount = 0;
};

} // namespace bulrush
