#pragma once

/**
    bulrush_node: the daemon's tasks.

    FrontTask serves callers; ControlTask follows the log, links to other nodes and serves
    operators. Each owns its sockets and its state and runs on its own loop's thread; they talk by
    the messages of messages/FrontMessages.h. NodeRuntime puts them together.

    Needs: the decision modules, bulrush_net, bulrush_platform, bulrush_wire, prometheus-cpp.
*/

#include "bulrush_node/groups/WorkDurations.h"
#include "bulrush_node/runtime/NodeRuntime.h"
