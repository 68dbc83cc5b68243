#pragma once

/**
    bulrush_node: the daemon's tasks.

    FrontTask serves callers. ControlTask reads the log, maintains the links to other nodes and
    serves operators. Each task owns its sockets and its state and runs on the thread of its own
    event loop; the tasks communicate by the messages of messages/FrontMessages.h. NodeRuntime
    creates and connects them.

    Dependencies: the decision modules, bulrush_net, bulrush_platform, bulrush_wire, prometheus-cpp.
*/

#include "bulrush_node/groups/WorkDurations.h"
#include "bulrush_node/runtime/NodeRuntime.h"
