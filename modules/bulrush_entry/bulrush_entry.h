#pragma once

/**
    bulrush_entry: the daemon of an entry VM on a platform that brings a store of its own.

    Serves callers (jobs, states, cancellations), takes part in the group that chooses the owner of
    the workers, and runs the owner's side while it is the owner. The platform's names and formats
    come in through the ports.

    Needs: bulrush_core, bulrush_net, bulrush_steps, bulrush_wire, prometheus-cpp.
*/

#include "bulrush_entry/node/EntryNode.h"
#include "bulrush_entry/node/EntryPorts.h"
#include "bulrush_entry/settings/EntrySettings.h"
