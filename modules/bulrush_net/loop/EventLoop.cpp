#include "bulrush_net/loop/EventLoop.h"

#include "bulrush_core/errors/Error.h"

#include <libwebsockets.h>

namespace bulrush {

namespace {

/** Bounds libwebsockets' tables, which otherwise follow the machine's limit of open files. */
constexpr int maxOpenSockets = 4096;
constexpr int maxHeaderBytes = 8192;
/** An open connection may hold one, also while it is idle. */
constexpr int maxHeaderTables = maxOpenSockets;

int wakeCallback(lws *wsi, lws_callback_reasons reason, void * /*user*/, void * /*in*/,
                 std::size_t /*length*/)
{
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
        static_cast<EventLoop *>(lws_context_user(lws_get_context(wsi)))->woken();
    }
    return 0;
}

lws_protocols wakeProtocols[] = {
    { "bulrush-wake", wakeCallback, 0, 0, 0, nullptr, 0 },
    { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

} // namespace

namespace {

/** What libwebsockets hands back when a timer fires. */
struct TimerEntry
{
    lws_sorted_usec_list_t list;
    EventLoop *loop;
    EventLoop::TimerId id;
};

} // namespace

struct EventLoop::Timer
{
    TimerEntry entry = {};
    Duration period {};
    std::function<void()> action;
};

EventLoop::EventLoop()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
    info.fd_limit_per_thread = maxOpenSockets;
    info.max_http_header_data = maxHeaderBytes;
    info.max_http_header_pool = maxHeaderTables;
    info.user = this;
    this->lwsContext = lws_create_context(&info);
    if (this->lwsContext == nullptr) {
        throw Error("create event loop", "", "libwebsockets refused the context");
    }
    lws_context_creation_info wakeInfo = {};
    wakeInfo.port = CONTEXT_PORT_NO_LISTEN;
    wakeInfo.protocols = wakeProtocols;
    wakeInfo.vhost_name = "wake";
    lws_create_vhost(this->lwsContext, &wakeInfo);
}

EventLoop::~EventLoop()
{
    for (auto &[id, timer] : this->timers) {
        lws_sul_cancel(&timer->entry.list);
    }
    lws_context_destroy(this->lwsContext);
}

void EventLoop::run()
{
    while (!this->stopping) {
        lws_service(this->lwsContext, 0);
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

void EventLoop::wake()
{
    lws_cancel_service(this->lwsContext);
}

void EventLoop::addWakeListener(std::function<void()> listener)
{
    this->wakeListeners.push_back(std::move(listener));
}

void EventLoop::woken()
{
    for (const auto &listener : this->wakeListeners) {
        listener();
    }
}

EventLoop::TimerId EventLoop::schedule(Duration after, std::function<void()> action)
{
    auto timer = std::make_unique<Timer>();
    timer->entry.loop = this;
    timer->entry.id = this->nextTimer++;
    timer->action = std::move(action);
    const TimerId id = timer->entry.id;
    const auto delay = duration_cast<microseconds>(after).count();
    lws_sul_schedule(this->lwsContext, 0, &timer->entry.list, &EventLoop::timerFired, delay);
    this->timers.emplace(id, std::move(timer));
    return id;
}

EventLoop::TimerId EventLoop::scheduleEvery(Duration period, std::function<void()> action)
{
    const TimerId id = this->schedule(period, std::move(action));
    this->timers.at(id)->period = period;
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = this->timers.find(timer);
    if (found != this->timers.end()) {
        lws_sul_cancel(&found->second->entry.list);
        this->timers.erase(found);
    }
}

void EventLoop::timerFired(lws_sorted_usec_list *entry)
{
    const TimerEntry *timer = lws_container_of(entry, TimerEntry, list);
    timer->loop->fire(timer->id);
}

void EventLoop::fire(TimerId id)
{
    const std::function<void()> action = this->timers.at(id)->action;
    const Duration period = this->timers.at(id)->period;
    if (period == Duration::zero()) {
        this->timers.erase(id);
    }
    action();
    const auto found = this->timers.find(id);
    if (period != Duration::zero() && found != this->timers.end()) {
        const auto delay = duration_cast<microseconds>(period).count();
        lws_sul_schedule(this->lwsContext, 0, &found->second->entry.list, &EventLoop::timerFired,
                         delay);
    }
}

} // namespace bulrush
