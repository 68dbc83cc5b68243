#pragma once

#include "bulrush_core/events/EventCatalogue.h"

#include <memory>
#include <string_view>

namespace spdlog {
class logger;
}

namespace bulrush {

/**
    Writes numbered events as one line each: time, severity, E-number, name, peer, detail.

    Safe to use from several threads.
*/
class EventLog
{
public:
    /** Writes to the standard error stream. @param nodeName stands in every line */
    explicit EventLog(std::string_view nodeName);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** Writes one event. @param peer the other side, may be empty @param detail free text */
    void write(Event event, std::string_view peer, std::string_view detail);

    /** Sets the least severity that is written. */
    void setThreshold(Severity severity);

private:
    std::shared_ptr<spdlog::logger> logger;
};

} // namespace bulrush
