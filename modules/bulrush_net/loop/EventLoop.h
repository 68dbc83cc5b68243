#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/time/Clock.h"

#include <atomic>
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
    /** Microseconds of libwebsockets' monotonic clock. */
    using Micros = std::int64_t;

    struct Timer
    {
        Micros dueAt = 0;
        Duration period {};
        std::function<void()> action;
    };

    /** The one timer of libwebsockets: its own list of timers takes longer the more there are. */
    struct Alarm;

    static void alarmRang(lws_sorted_usec_list *entry);
    void fireDue();
    void fire(TimerId id);
    void setAlarm();

    std::vector<std::shared_ptr<void>> kept;
    lws_context *lwsContext = nullptr;
    std::atomic<bool> stopping = false;
    std::vector<std::function<void()>> wakeListeners;
    std::map<TimerId, Timer> timers;
    std::set<std::pair<Micros, TimerId>> timersByTime;
    std::unique_ptr<Alarm> alarm;
    Micros alarmAt = 0;
    bool firing = false;
    TimerId nextTimer = 1;
};

} // namespace bulrush
