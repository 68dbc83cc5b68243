#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <thread>

namespace bulrush::standins {

/**
    Relays TCP connections on the loopback address to another port and injects faults: a cut link,
    or open connections that stay silent permanently while new ones work.
*/
class Relay
{
public:
    /** Starts listening. @throws std::runtime_error when the port cannot be bound */
    Relay(std::uint16_t listenPort, std::uint16_t targetPort);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** Cuts the link (closes and refuses connections) or restores it. */
    void setCut(bool cut);

    /** Makes every open connection silent: it stays open, but its data is discarded. */
    void silenceOpenConnections();

private:
    struct Connection
    {
        int client = -1;
        int upstream = -1;
        std::atomic<bool> silent = false;
        std::atomic<int> activeForwarders = 2;
    };

    void acceptConnections();
    void openConnection(int client);
    void forward(Connection &connection, int from, int to);
    void removeClosedConnections();

    const std::uint16_t targetPort;
    int listening = -1;
    std::atomic<bool> cut = false;
    std::atomic<bool> closing = false;
    std::mutex mutex;
    std::list<Connection> connections;
    std::thread acceptor;
};

} // namespace bulrush::standins
