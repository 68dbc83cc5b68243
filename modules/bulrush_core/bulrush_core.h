#pragma once

/**
    bulrush_core: what every other module builds on.

    Holds the runtime's clock, typed ids, endpoints, entries of the log, errors that carry step and
   peer, numbered log events and the mailbox through which tasks of different threads talk.

    Needs: spdlog, threads.
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
#include "bulrush_core/time/PausableClock.h"
#include "bulrush_core/time/SystemClock.h"
