#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace bulrush::standins {

/** Blocks requests while the target is frozen or silent. Safe for concurrent use. */
class RequestGate
{
public:
    RequestGate() = default;

    RequestGate(const RequestGate &) = delete;
    RequestGate &operator=(const RequestGate &) = delete;

    /** Waits while requests are blocked. Returns false when the server is closing. */
    bool waitUntilOpen();

    /** Sleeps for this time, or until the server closes. */
    void sleep(std::chrono::milliseconds time);

    /** Blocks all requests for this time. */
    void freeze(std::chrono::milliseconds time);

    /** Blocks all requests while on. */
    void setSilent(bool on);

    /** Releases all blocked requests because the server is closing. */
    void close();

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    std::mutex mutex;
    std::condition_variable changed;
    SteadyTime frozenUntil;
    bool silent = false;
    bool closing = false;
};

} // namespace bulrush::standins
