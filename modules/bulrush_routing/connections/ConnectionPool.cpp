#include "bulrush_routing/connections/ConnectionPool.h"

#include <algorithm>

namespace bulrush::routing {

void ConnectionPool::resize(TargetIndex target, unsigned connections)
{
    TargetConnections &pool = this->of(target);
    pool.limit = connections;
    if (pool.connections.size() < connections) {
        pool.connections.resize(connections);
    }
}

void ConnectionPool::forget(TargetIndex target)
{
    this->of(target) = TargetConnections {};
}

std::optional<ConnectionIndex> ConnectionPool::acquire(TargetIndex target, Instant now)
{
    TargetConnections &pool = this->of(target);
    std::optional<ConnectionIndex> best;
    for (ConnectionIndex i = 0; i < pool.limit; ++i) {
        const Connection &candidate = pool.connections[i];
        const bool trusted = candidate.use == Use::Idle && now - candidate.provenAt < idleTrust;
        if (candidate.use == Use::Closed && !best) {
            best = i;
        }
        if (!trusted) {
            continue;
        }
        const bool fresher = !best || pool.connections[*best].use == Use::Closed
                || pool.connections[*best].provenAt < candidate.provenAt;
        if (fresher) {
            best = i;
        }
    }
    if (best) {
        pool.connections[*best].use = Use::Busy;
    }
    return best;
}

void ConnectionPool::release(TargetIndex target, ConnectionIndex connection, Instant now)
{
    TargetConnections &pool = this->of(target);
    if (connection < pool.connections.size()) {
        pool.connections[connection] = Connection { Use::Idle, now };
    }
}

void ConnectionPool::closed(TargetIndex target, ConnectionIndex connection)
{
    TargetConnections &pool = this->of(target);
    if (connection < pool.connections.size()) {
        pool.connections[connection].use = Use::Closed;
    }
}

std::vector<StaleConnection> ConnectionPool::takeUnprovenSince(TargetIndex target, Instant time)
{
    std::vector<StaleConnection> unproven;
    std::vector<Connection> &connections = this->of(target).connections;
    for (ConnectionIndex c = 0; c < connections.size(); ++c) {
        if (connections[c].use == Use::Idle && connections[c].provenAt < time) {
            connections[c].use = Use::Closed;
            unproven.push_back({ target, c });
        }
    }
    return unproven;
}

std::vector<StaleConnection> ConnectionPool::takeStale(Instant now)
{
    std::vector<StaleConnection> stale;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        TargetConnections &pool = this->targets[i];
        for (ConnectionIndex c = 0; c < pool.connections.size(); ++c) {
            Connection &connection = pool.connections[c];
            const bool old = now - connection.provenAt >= idleTrust || c >= pool.limit;
            if (connection.use == Use::Idle && old) {
                connection.use = Use::Closed;
                stale.push_back({ TargetIndex(i), c });
            }
        }
    }
    return stale;
}

ConnectionPool::TargetConnections &ConnectionPool::of(TargetIndex target)
{
    if (toSize(target) >= this->targets.size()) {
        this->targets.resize(toSize(target) + 1);
    }
    return this->targets[toSize(target)];
}

} // namespace bulrush::routing
