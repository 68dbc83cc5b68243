#pragma once

#include "bulrush_node/control/ControlTask.h"
#include "bulrush_node/front/FrontTask.h"

#include <optional>
#include <thread>

namespace bulrush {

/** Runs a node: the front task and the control task, each with an event loop and a thread. */
class NodeRuntime
{
public:
    /** Binds all endpoints. @throws Error when one cannot be bound */
    NodeRuntime(const NodeSettings &settings, const Clock &clock);
    ~NodeRuntime();

    NodeRuntime(const NodeRuntime &) = delete;
    NodeRuntime &operator=(const NodeRuntime &) = delete;

    /** Runs until the node is drained. */
    void run();

    /** Begins a graceful stop. Thread-safe. */
    void drain();

private:
    struct DrainRequested
    {
    };

    using ControlMessage = std::variant<FrontReport, DrainRequested>;

    void handleControlMessages();
    void handleFrontMessages();

    EventLog events;
    NodeMetrics metrics;
    EventLoop frontLoop;
    EventLoop controlLoop;
    Mailbox<FrontMessage> frontMailbox;
    Mailbox<ControlMessage> controlMailbox;
    FrontTask front;
    ControlTask control;
};

} // namespace bulrush
