#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/time/Clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct lws_context;
struct lws_vhost;
struct lws_sorted_usec_list;

namespace bulrush {

/**
    A libwebsockets context with its timers, serviced by one thread.

    All members except wake() and stop() must be called on the servicing thread or before run().
*/
class EventLoop
{
public:
    using TimerId = std::uint64_t;

    /** Maximum number of bytes that are read from a socket at once. */
    static constexpr std::size_t readBufferBytes = 32768;

    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Services sockets and timers until stop() is called. */
    void run();

    /** Services all sockets and timers that are ready, then returns; for tests. */
    void runOnce();

    /** Ends run(). Safe from any thread and from a signal handler's thread. */
    void stop();

    /** Ends run() as soon as a condition holds after a whole pass over the sockets and timers that
        are ready. No socket is read between the condition's last call and the end of run(). */
    void stopWhen(std::function<bool()> condition);

    /** Makes the loop call the wake listeners asynchronously. Safe from any thread. */
    void wake();

    /** Adds a function that is called on the loop's thread after wake(). */
    void addWakeListener(std::function<void()> listener);

    /** Returns the time of the clock that the timers use. */
    Instant now() const;

    /** Calls a function once after a delay. */
    TimerId schedule(Duration after, std::function<void()> action);

    /** Calls a function repeatedly, each time one period after the previous call returned. */
    TimerId scheduleEvery(Duration period, std::function<void()> action);

    /** Cancels a timer; unknown ids are ignored. */
    void cancel(TimerId timer);

    /** Extends an object's lifetime until after the last callback of the context. */
    void retain(std::shared_ptr<void> object) { this->retained.push_back(std::move(object)); }

    /** Returns the context, for the classes of this module. */
    lws_context *context() const { return this->lwsContext; }

    /** Calls the wake listeners; called by the context's callback after wake(). */
    void notifyWakeListeners();

private:
    /** Microseconds of libwebsockets' monotonic clock. */
    using Micros = std::int64_t;

    struct Timer
    {
        Micros dueAt = 0;
        Duration period {};
        std::function<void()> action;
    };

    /** The only libwebsockets timer that the loop uses, set to the earliest due time of all timers:
        the cost of libwebsockets' own timer list grows with its length. */
    struct LwsTimer;

    static void lwsTimerFired(lws_sorted_usec_list *entry);
    void fireDue();
    void fire(TimerId id);
    void armLwsTimer();

    std::vector<std::shared_ptr<void>> retained;
    lws_context *lwsContext = nullptr;
    std::atomic<bool> stopping = false;
    /** Of stopWhen(); empty before. */
    std::function<bool()> stopCondition;
    std::vector<std::function<void()>> wakeListeners;
    std::map<TimerId, Timer> timers;
    std::set<std::pair<Micros, TimerId>> timersByTime;
    std::unique_ptr<LwsTimer> lwsTimer;
    Micros lwsTimerDueAt = 0;
    bool firing = false;
    TimerId nextTimer = 1;
};

} // namespace bulrush
