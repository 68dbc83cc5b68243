#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

namespace bulrush::standins {

/**
    Serves each connection on its own thread.

    An open connection holds its thread until it closes, so a pool of fixed size would leave
    /control unreachable once as many connections are open or silent.
*/
class ConnectionThreads : public httplib::TaskQueue
{
public:
    ConnectionThreads() = default;

    ConnectionThreads(const ConnectionThreads &) = delete;
    ConnectionThreads &operator=(const ConnectionThreads &) = delete;

    /** Runs the function on a new thread. */
    void enqueue(std::function<void()> fn) override;

    /** Waits until all threads have ended. */
    void shutdown() override;

private:
    void run(const std::function<void()> &fn);

    std::mutex mutex;
    std::condition_variable allEnded;
    std::size_t running = 0;
};

} // namespace bulrush::standins
