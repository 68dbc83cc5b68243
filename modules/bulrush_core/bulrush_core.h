#pragma once

/**
    bulrush_core: the types that all other modules use.

    Contains the clock, typed ids, endpoints, log entries, errors with operation and peer, numbered
    log events, and the mailbox for messages between threads.

    Dependencies: spdlog, threads.
*/

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_core/events/EventCatalogue.h"
#include "bulrush_core/events/EventLog.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_core/log/LogTypes.h"
#include "bulrush_core/messages/Mailbox.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_core/time/ManualClock.h"
#include "bulrush_core/time/SystemClock.h"
