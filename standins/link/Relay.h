#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <thread>

namespace bulrush::standins {

/**
    Relays TCP connections on the loopback address to another port, with faults that can be
    switched on: cut, and connections that go silent for good while new ones work.
*/
class Relay
{
public:
    /** Listens at once. @throws std::runtime_error when the port cannot be bound */
    Relay(std::uint16_t listenPort, std::uint16_t targetPort);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /** Cuts the link or heals it. */
    void setCut(bool cut);

    /** Makes every present connection silent: it stays open and carries nothing any more. */
    void silenceOpenConnections();

private:
    struct Connection
    {
        int near = -1;
        int far = -1;
        std::atomic<bool> silent = false;
        std::atomic<int> runningPumps = 2;
    };

    void acceptAll();
    void open(int near);
    void pump(Connection &connection, int from, int to);
    void removeEnded();

    const std::uint16_t targetPort;
    int listening = -1;
    std::atomic<bool> cut = false;
    std::atomic<bool> closing = false;
    std::mutex mutex;
    std::list<Connection> connections;
    std::thread acceptor;
};

} // namespace bulrush::standins
