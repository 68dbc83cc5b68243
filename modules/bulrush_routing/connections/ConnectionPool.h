#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrush::routing {

/** A connection's place among those of its target. */
using ConnectionIndex = std::uint32_t;

/** One connection that is to be closed. */
struct StaleConnection
{
    TargetIndex target;
    ConnectionIndex connection;
};

/**
    Decides which connection of a target carries a request: one request at a time each, the one
    that last proved to work first. A connection idle for too long is closed instead of used, since
    something between the two ends may have lost track of it.
*/
class ConnectionPool
{
public:
    /** How long an idle connection is trusted. */
    static constexpr Duration idleTrust = seconds(5);

    /** Sets how many connections a target has; those beyond are used no more. */
    void resize(TargetIndex target, unsigned connections);

    /** Forgets a target's connections, since its index goes to another. */
    void forget(TargetIndex target);

    /** Takes a connection for a request; nothing when all are busy. */
    std::optional<ConnectionIndex> acquire(TargetIndex target, Instant now);

    /** Gives a connection back after a whole answer, so that it can be used again. */
    void release(TargetIndex target, ConnectionIndex connection, Instant now);

    /** Notes that a connection was closed; its index may be opened anew. */
    void closed(TargetIndex target, ConnectionIndex connection);

    /** Takes out a target's idle connections that have not proved to work since a time; what lost
        track of one connection may have lost track of them all. The caller closes them. */
    std::vector<StaleConnection> takeUnprovenSince(TargetIndex target, Instant time);

    /** Takes out idle connections that are trusted no more; the caller closes them. */
    std::vector<StaleConnection> takeStale(Instant now);

private:
    enum class Use : std::uint8_t { Closed, Idle, Busy };

    struct Connection
    {
        Use use = Use::Closed;
        Instant provenAt {};
    };

    struct TargetConnections
    {
        unsigned limit = 0;
        std::vector<Connection> connections;
    };

    TargetConnections &of(TargetIndex target);

    std::vector<TargetConnections> targets;
};

} // namespace bulrush::routing
