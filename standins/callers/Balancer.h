#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace bulrush::standins {

/**
    The platform's load balancer: polls the readiness of every node and selects ready nodes in
    round-robin order.
*/
class Balancer
{
public:
    explicit Balancer(std::vector<int> nodePorts);
    ~Balancer();

    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /** Returns the port of the next ready node, or std::nullopt when no node is ready. */
    std::optional<int> next();

private:
    void pollReadiness();

    const std::vector<int> ports;
    std::mutex mutex;
    std::vector<int> readyPorts;
    std::size_t nextIndex = 0;
    std::atomic<bool> closing = false;
    std::thread pollThread;
};

} // namespace bulrush::standins
