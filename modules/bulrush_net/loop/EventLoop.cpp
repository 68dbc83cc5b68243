#include "bulrush_net/loop/EventLoop.h"

#include "bulrush_core/errors/Error.h"

#include <libwebsockets.h>

#include <algorithm>

namespace bulrush {

namespace {

constexpr int maxHeaderBytes = 16384;
/** One per connection from a client, because an open connection may hold a header table even while
    it is idle. */
constexpr int maxHeaderTables = 4096;

int wakeCallback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/,
                 std::size_t /*length*/)
{
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
        static_cast<EventLoop *>(lws_context_user(lws_get_context(wsi)))->notifyWakeListeners();
    }
    return 0;
}

lws_protocols wakeProtocols[] = {
    { "bulrush-wake", wakeCallback, 0, 0, 0, nullptr, 0 },
    { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

} // namespace

struct EventLoop::LwsTimer
{
    lws_sorted_usec_list_t list;
    EventLoop *loop;
};

EventLoop::EventLoop()
    : lwsTimer(std::make_unique<LwsTimer>())
{
    this->lwsTimer->loop = this;
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    // info.fd_limit_per_thread stays 0: with a limit of its own, libwebsockets searches a list of
    // all sockets for each event, without one it indexes a table.
    info.pt_serv_buf_size = readBufferBytes;
    info.max_http_header_data = maxHeaderBytes;
    info.max_http_header_pool = maxHeaderTables;
    info.user = this;
    this->lwsContext = lws_create_context(&info);
    if (this->lwsContext == nullptr) {
        throw Error("create event loop", "", "libwebsockets could not create the context");
    }
    lws_context_creation_info wakeInfo = {};
    wakeInfo.port = CONTEXT_PORT_NO_LISTEN;
    wakeInfo.protocols = wakeProtocols;
    wakeInfo.vhost_name = "wake";
    lws_create_vhost(this->lwsContext, &wakeInfo);
}

EventLoop::~EventLoop()
{
    lws_sul_cancel(&this->lwsTimer->list);
    lws_context_destroy(this->lwsContext);
}

void EventLoop::run()
{
    while (!this->stopping) {
        const bool mayStop = static_cast<bool>(this->stopCondition);
        lws_service(this->lwsContext, 0);
        if (mayStop && this->stopCondition()) {
            return;
        }
    }
}

void EventLoop::runOnce()
{
    lws_service(this->lwsContext, -1);
}

void EventLoop::stop()
{
    this->stopping = true;
    this->wake();
}

void EventLoop::stopWhen(std::function<bool()> condition)
{
    this->stopCondition = std::move(condition);
    this->wake();
}

void EventLoop::wake()
{
    lws_cancel_service(this->lwsContext);
}

void EventLoop::addWakeListener(std::function<void()> listener)
{
    this->wakeListeners.push_back(std::move(listener));
}

void EventLoop::notifyWakeListeners()
{
    for (const auto &listener : this->wakeListeners) {
        listener();
    }
}

Instant EventLoop::now() const
{
    return Instant(microseconds(lws_now_usecs()));
}

EventLoop::TimerId EventLoop::schedule(Duration after, std::function<void()> action)
{
    const TimerId id = this->nextTimer++;
    Timer &timer = this->timers[id];
    timer.dueAt = lws_now_usecs() + duration_cast<microseconds>(after).count();
    timer.action = std::move(action);
    this->timersByTime.emplace(timer.dueAt, id);
    this->armLwsTimer();
    return id;
}

EventLoop::TimerId EventLoop::scheduleEvery(Duration period, std::function<void()> action)
{
    const TimerId id = this->schedule(period, std::move(action));
    this->timers.at(id).period = period;
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = this->timers.find(timer);
    if (found != this->timers.end()) {
        this->timersByTime.erase({ found->second.dueAt, timer });
        this->timers.erase(found);
    }
}

void EventLoop::armLwsTimer()
{
    if (this->firing || this->timersByTime.empty()) {
        return;
    }
    const Micros earliest = this->timersByTime.begin()->first;
    if (this->lwsTimerDueAt != 0 && this->lwsTimerDueAt <= earliest) {
        return;
    }
    this->lwsTimerDueAt = earliest;
    const Micros delay = std::max<Micros>(0, earliest - lws_now_usecs());
    lws_sul_schedule(this->lwsContext, 0, &this->lwsTimer->list, &EventLoop::lwsTimerFired, delay);
}

void EventLoop::lwsTimerFired(lws_sorted_usec_list *entry)
{
    const LwsTimer *lwsTimer = lws_container_of(entry, LwsTimer, list);
    lwsTimer->loop->fireDue();
}

void EventLoop::fireDue()
{
    this->lwsTimerDueAt = 0;
    this->firing = true;
    const Micros now = lws_now_usecs();
    // Timers that the actions add fire in the next round, so that sockets are serviced between.
    const TimerId firstNew = this->nextTimer;
    std::vector<TimerId> due;
    for (const auto &[dueAt, id] : this->timersByTime) {
        if (dueAt > now) {
            break;
        }
        if (id < firstNew) {
            due.push_back(id);
        }
    }
    for (const TimerId id : due) {
        this->fire(id);
    }
    this->firing = false;
    this->armLwsTimer();
}

void EventLoop::fire(TimerId id)
{
    const auto found = this->timers.find(id);
    if (found == this->timers.end()) {
        return;
    }
    this->timersByTime.erase({ found->second.dueAt, id });
    const Duration period = found->second.period;
    if (period == Duration::zero()) {
        const std::function<void()> action = std::move(found->second.action);
        this->timers.erase(found);
        action();
        return;
    }
    const std::function<void()> action = found->second.action;
    action();
    const auto remaining = this->timers.find(id);
    if (remaining != this->timers.end()) {
        remaining->second.dueAt = lws_now_usecs() + duration_cast<microseconds>(period).count();
        this->timersByTime.emplace(remaining->second.dueAt, id);
    }
}

} // namespace bulrush
