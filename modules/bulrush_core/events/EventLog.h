#pragma once

#include "bulrush_core/events/EventCatalogue.h"

#include <memory>
#include <string_view>

namespace spdlog {
class logger;
}

namespace bulrush {

/**
    Writes each event as one line: time, severity, E-number, name, peer, detail.

    Thread-safe.
*/
class EventLog
{
public:
    /** Writes to the standard error stream. @param nodeName included in every line */
    explicit EventLog(std::string_view nodeName);
    ~EventLog();

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** Writes an event. @param peer the peer concerned; may be empty @param detail free text */
    void write(Event event, std::string_view peer, std::string_view detail);

    /** Sets the minimum severity of the events that are written. */
    void setThreshold(Severity severity);

private:
    std::shared_ptr<spdlog::logger> logger;
};

} // namespace bulrush
