#include "bulrush_routing/connections/ConnectionPool.h"

#include <algorithm>

namespace bulrush::routing {

void ConnectionPool::resize(TargetIndex target, unsigned connections)
{
    TargetConnections &pool = this->connectionsOf(target);
    pool.limit = connections;
    if (pool.connections.size() < connections) {
        pool.connections.resize(connections);
    }
}

void ConnectionPool::reset(TargetIndex target)
{
    this->connectionsOf(target) = TargetConnections {};
}

std::optional<ConnectionIndex> ConnectionPool::acquire(TargetIndex target, Instant now)
{
    TargetConnections &pool = this->connectionsOf(target);
    std::optional<ConnectionIndex> best;
    for (ConnectionIndex i = 0; i < pool.limit; ++i) {
        const Connection &candidate = pool.connections[i];
        const bool reusable =
                candidate.state == State::Idle && now - candidate.verifiedAt < maxIdleTime;
        if (candidate.state == State::Closed && !best) {
            best = i;
        }
        if (!reusable) {
            continue;
        }
        const bool moreRecent = !best || pool.connections[*best].state == State::Closed
                || pool.connections[*best].verifiedAt < candidate.verifiedAt;
        if (moreRecent) {
            best = i;
        }
    }
    if (best) {
        pool.connections[*best].state = State::Busy;
    }
    return best;
}

void ConnectionPool::release(TargetIndex target, ConnectionIndex connection, Instant now)
{
    TargetConnections &pool = this->connectionsOf(target);
    if (connection < pool.connections.size()) {
        pool.connections[connection] = Connection { State::Idle, now };
    }
}

void ConnectionPool::markClosed(TargetIndex target, ConnectionIndex connection)
{
    TargetConnections &pool = this->connectionsOf(target);
    if (connection < pool.connections.size()) {
        pool.connections[connection].state = State::Closed;
    }
}

std::vector<StaleConnection> ConnectionPool::takeUnverifiedSince(TargetIndex target, Instant time)
{
    std::vector<StaleConnection> unverified;
    std::vector<Connection> &connections = this->connectionsOf(target).connections;
    for (ConnectionIndex c = 0; c < connections.size(); ++c) {
        if (connections[c].state == State::Idle && connections[c].verifiedAt < time) {
            connections[c].state = State::Closed;
            unverified.push_back({ target, c });
        }
    }
    return unverified;
}

std::vector<StaleConnection> ConnectionPool::takeStale(Instant now)
{
    std::vector<StaleConnection> stale;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        TargetConnections &pool = this->targets[i];
        for (ConnectionIndex c = 0; c < pool.connections.size(); ++c) {
            Connection &connection = pool.connections[c];
            const bool expired = now - connection.verifiedAt >= maxIdleTime || c >= pool.limit;
            if (connection.state == State::Idle && expired) {
                connection.state = State::Closed;
                stale.push_back({ TargetIndex(i), c });
            }
        }
    }
    return stale;
}

ConnectionPool::TargetConnections &ConnectionPool::connectionsOf(TargetIndex target)
{
    if (toSize(target) >= this->targets.size()) {
        this->targets.resize(toSize(target) + 1);
    }
    return this->targets[toSize(target)];
}

} // namespace bulrush::routing
