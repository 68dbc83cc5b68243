#include "bulrush_node/runtime/NodeRuntime.h"

namespace bulrush {

namespace {

constexpr std::size_t mailboxCapacity = 100'000;

FrontSettings frontSettings(const NodeSettings &settings)
{
    FrontSettings front;
    front.node = settings.node;
    front.dataCentre = settings.dataCentre;
    front.callers = settings.callers;
    front.serverLimits = { settings.limits.maxRequestBytes, settings.limits.maxConnections };
    front.answerBytes = settings.limits.maxAnswerBytes;
    return front;
}

} // namespace

NodeRuntime::NodeRuntime(const NodeSettings &settings, const Clock &clock)
    : events(settings.node.name())
    , frontMailbox(mailboxCapacity, [this] { this->frontLoop.wake(); })
    , controlMailbox(mailboxCapacity, [this] { this->controlLoop.wake(); })
    , front(this->frontLoop, clock, frontSettings(settings), this->metrics, this->events,
            [this](FrontReport report) { this->controlMailbox.send(std::move(report)); })
    , control(
              this->controlLoop, clock, settings, this->metrics, this->events,
              [this](FrontMessage message) { this->frontMailbox.send(std::move(message)); },
              [this] {
                  this->frontLoop.stop();
                  this->controlLoop.stop();
              })
{
    this->frontLoop.addWakeListener([this] { this->handleFrontMessages(); });
    this->controlLoop.addWakeListener([this] { this->handleControlMessages(); });
}

NodeRuntime::~NodeRuntime() = default;

void NodeRuntime::run()
{
    std::thread frontThread([this] { this->frontLoop.run(); });
    this->control.start();
    this->controlLoop.run();
    frontThread.join();
}

void NodeRuntime::drain()
{
    this->controlMailbox.send(DrainRequested());
}

void NodeRuntime::handleFrontMessages()
{
    for (FrontMessage &message : this->frontMailbox.takeAll()) {
        this->front.handle(std::move(message));
    }
}

void NodeRuntime::handleControlMessages()
{
    for (const ControlMessage &message : this->controlMailbox.takeAll()) {
        if (const auto *report = std::get_if<FrontReport>(&message)) {
            this->control.handle(*report);
        } else {
            this->control.drain();
        }
    }
}

} // namespace bulrush
