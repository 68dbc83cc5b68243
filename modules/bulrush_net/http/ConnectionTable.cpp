#include "bulrush_net/http/ConnectionTable.h"

namespace bulrush {

void ConnectionTable::opened(ConnectionId id, bool beyondLimit, Instant now)
{
    Connection &connection = this->connections[id];
    connection.waitsSince = now;
    connection.beyondLimit = beyondLimit;
}

bool ConnectionTable::isBeyondLimit(ConnectionId id) const
{
    const auto found = this->connections.find(id);
    return found != this->connections.end() && found->second.beyondLimit;
}

bool ConnectionTable::isClosing(ConnectionId id) const
{
    const auto found = this->connections.find(id);
    return found != this->connections.end() && found->second.closing;
}

void ConnectionTable::closed(ConnectionId id)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        this->closingCount -= found->second.closing ? 1U : 0U;
        this->connections.erase(found);
    }
}

void ConnectionTable::requestBegan(ConnectionId id)
{
    Connection &connection = this->connections[id];
    connection.hasRequest = true;
    connection.hadRequest = true;
    connection.headerSince.reset();
}

void ConnectionTable::requestEnded(ConnectionId id, Instant now)
{
    Connection &connection = this->connections[id];
    connection.hasRequest = false;
    connection.waitsSince = now;
}

void ConnectionTable::refused(ConnectionId id, Instant now)
{
    this->connections[id].refusedAt = now;
}

void ConnectionTable::closing(ConnectionId id)
{
    Connection &connection = this->connections[id];
    this->closingCount += connection.closing ? 0U : 1U;
    connection.closing = true;
}

void ConnectionTable::headerBegan(ConnectionId id, Instant now)
{
    Connection &connection = this->connections[id];
    if (!connection.headerSince) {
        connection.headerSince = now;
    }
}

std::vector<ConnectionTable::ConnectionId> ConnectionTable::waiting() const
{
    std::vector<ConnectionId> ids;
    for (const auto &[id, connection] : this->connections) {
        if (!connection.hasRequest && !connection.closing) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool ConnectionTable::isOverdue(const Connection &connection, const ConnectionTimes &times,
                                Instant now)
{
    if (connection.closing) {
        // libwebsockets waits for the peer's end of a connection; closing it again ends that.
        return true;
    }
    if (connection.refusedAt) {
        return now - *connection.refusedAt >= lingerTime;
    }
    if (connection.hasRequest) {
        return false;
    }
    const bool headerLate = connection.headerSince && now - *connection.headerSince >= times.header;
    return headerLate || now - connection.waitsSince >= times.idle;
}

std::vector<ConnectionTable::ConnectionId> ConnectionTable::overdue(const ConnectionTimes &times,
                                                                    Instant now) const
{
    std::vector<ConnectionId> ids;
    for (const auto &[id, connection] : this->connections) {
        if (isOverdue(connection, times, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::optional<ConnectionTable::ConnectionId> ConnectionTable::displaceable(Instant now) const
{
    std::optional<ConnectionId> first;
    const Connection *chosen = nullptr;
    for (const auto &[id, connection] : this->connections) {
        // A client that has begun its next request would lose it, unless it never sends the rest.
        const bool sends =
                connection.headerSince && now - *connection.headerSince < displaceableWait;
        if (connection.hasRequest || connection.closing || sends
            || now - connection.waitsSince < displaceableWait) {
            continue;
        }
        const bool isBefore = chosen == nullptr || chosen->hadRequest != connection.hadRequest
                ? chosen == nullptr || chosen->hadRequest
                : connection.waitsSince < chosen->waitsSince;
        if (isBefore) {
            first = id;
            chosen = &connection;
        }
    }
    return first;
}

} // namespace bulrush
