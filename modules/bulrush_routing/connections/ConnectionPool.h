#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace bulrush::routing {

/** Index of a connection among the connections of its target. */
using ConnectionIndex = std::uint32_t;

/** An idle connection that has to be closed. */
struct StaleConnection
{
    TargetIndex target;
    ConnectionIndex connection;
};

/**
    Selects the connection of a target that carries a request. A connection carries one request at
    a time, and the most recently verified one is used first. A connection that was idle for too
    long is closed instead of reused, because a middlebox may have dropped its state.
*/
class ConnectionPool
{
public:
    /** Maximum time after its last answer for which an idle connection is reused. */
    static constexpr Duration maxIdleTime = seconds(5);

    /** Sets the number of connections of a target; connections beyond it are not used again. */
    void resize(TargetIndex target, unsigned connections);

    /** Clears the connections of an index when it is assigned to another target. */
    void reset(TargetIndex target);

    /** Reserves a connection for a request; returns nothing if none is available. */
    std::optional<ConnectionIndex> acquire(TargetIndex target, Instant now);

    /** Marks a connection as idle and verified after a complete answer or a refusal. */
    void release(TargetIndex target, ConnectionIndex connection, Instant now);

    /** Records that a connection was closed; its index may be reused for a new one. */
    void markClosed(TargetIndex target, ConnectionIndex connection);

    /** Removes and returns the idle connections of a target that were not verified since a time.
        A middlebox that dropped the state of one connection may have dropped that of all of them.
        The caller closes them. */
    std::vector<StaleConnection> takeUnverifiedSince(TargetIndex target, Instant time);

    /** Removes and returns idle connections that must not be reused; the caller closes them. */
    std::vector<StaleConnection> takeStale(Instant now);

private:
    enum class State : std::uint8_t { Closed, Idle, Busy };

    struct Connection
    {
        State state = State::Closed;
        Instant verifiedAt {};
    };

    struct TargetConnections
    {
        unsigned limit = 0;
        std::vector<Connection> connections;
    };

    TargetConnections &connectionsOf(TargetIndex target);

    std::vector<TargetConnections> targets;
};

} // namespace bulrush::routing
