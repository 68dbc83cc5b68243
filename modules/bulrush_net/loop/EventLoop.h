#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/time/Clock.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct lws_context;
struct lws_vhost;
struct lws_sorted_usec_list;

namespace bulrush {

/**
    One libwebsockets context and its timers, serviced by one thread.

    All members but wake() and stop() are called on the servicing thread, or before run().
*/
class EventLoop
{
public:
    using TimerId = std::uint64_t;

    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Services sockets and timers until stop() is called. */
    void run();

    /** Services what is ready now and returns; for tests. */
    void runOnce();

    /** Ends run(). Safe from any thread and from a signal handler's thread. */
    void stop();

    /** Makes the loop call the wake listeners soon. Safe from any thread. */
    void wake();

    /** Adds a function that is called on the loop's thread after wake(). */
    void addWakeListener(std::function<void()> listener);

    /** Calls a function once after a span. */
    TimerId schedule(Duration after, std::function<void()> action);

    /** Calls a function again and again, one period after the end of the last call. */
    TimerId scheduleEvery(Duration period, std::function<void()> action);

    /** Forgets a timer; unknown ids are ignored. */
    void cancel(TimerId timer);

    /** Keeps an object until after the last callback of the context. */
    void keep(std::shared_ptr<void> object) { this->kept.push_back(std::move(object)); }

    /** Returns the context, for the classes of this module. */
    lws_context *context() const { return this->lwsContext; }

    /** Called by the context's callback after wake(). */
    void woken();

private:
    struct Timer;

    static void timerFired(lws_sorted_usec_list *entry);
    void fire(TimerId id);

    std::vector<std::shared_ptr<void>> kept;
    lws_context *lwsContext = nullptr;
    std::atomic<bool> stopping = false;
    std::vector<std::function<void()>> wakeListeners;
    std::map<TimerId, std::unique_ptr<Timer>> timers;
    TimerId nextTimer = 1;
};

} // namespace bulrush
