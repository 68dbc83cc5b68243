#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace bulrush::standins {

/** Holds requests back while the target is frozen or silent. Safe for concurrent use. */
class AnswerGate
{
public:
    AnswerGate() = default;

    AnswerGate(const AnswerGate &) = delete;
    AnswerGate &operator=(const AnswerGate &) = delete;

    /** Waits while requests are held back. Returns false when the server is closing. */
    bool pass();

    /** Sleeps, but not beyond the closing of the server. */
    void sleep(std::chrono::milliseconds time);

    /** Holds all requests back for this long. */
    void freeze(std::chrono::milliseconds time);

    /** Holds all requests back until switched off. */
    void setSilent(bool on);

    /** Lets all requests go: the server is closing. */
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
