#pragma once

/**
    bulrush_entry: the daemon of an entry VM on a platform that provides its own store.

    Serves callers (job submissions, state queries, cancellations), is a member of the group that
    selects the owner of the workers, and schedules their work while it is the owner. EntryPorts
    supplies the platform's names and formats.

    Dependencies: bulrush_core, bulrush_net, bulrush_steps, bulrush_wire, prometheus-cpp.
*/

#include "bulrush_entry/node/EntryNode.h"
#include "bulrush_entry/node/EntryPorts.h"
#include "bulrush_entry/settings/EntrySettings.h"
