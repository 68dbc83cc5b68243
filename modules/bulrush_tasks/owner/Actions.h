#pragma once

#include "bulrush_core/events/EventCatalogue.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_tasks/workers/Exchange.h"

#include <string>
#include <variant>

namespace bulrush {

/** Appends one record to a stream. Repeated with the same id until the record is read back. */
struct AppendAction
{
    std::string stream;
    std::string recordId;
    std::string payload;
};

/** Sends an exchange request to one worker. */
struct ExchangeAction
{
    VmId worker;
    ExchangeRequest request;
};

/** Logs an event. */
struct EventAction
{
    Event event = Event::NodeStarted;
    std::string peer;
    std::string detail;
};

using Action = std::variant<AppendAction, ExchangeAction, EventAction>;

} // namespace bulrush
