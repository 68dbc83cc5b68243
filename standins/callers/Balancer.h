#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace bulrush::standins {

/** The platform's balancer: asks every node for its readiness and hands out the ready ones in
    turn. */
class Balancer
{
public:
    explicit Balancer(std::vector<int> nodePorts);
    ~Balancer();

    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    /** Returns the port of the next ready node, or nothing where none is ready. */
    std::optional<int> next();

private:
    void watch();

    const std::vector<int> ports;
    std::mutex mutex;
    std::vector<int> ready;
    std::size_t turn = 0;
    std::atomic<bool> closing = false;
    std::thread watcher;
};

} // namespace bulrush::standins
