#pragma once

#include "bulrush_entry/front/CallerProtocol.h"
#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"
#include "bulrush_steps/ports/RecordDecoder.h"
#include "bulrush_steps/ports/WorkerCommands.h"
#include "bulrush_steps/ports/WorkerProcessList.h"

namespace bulrush {

/** The interfaces to the platform that a node runs on. */
struct EntryPorts
{
    KeyedLog &log;
    MemberGroup &group;
    WorkerCommands &workers;
    /** Null when the platform offers no list of VMs. */
    WorkerProcessList *processes;
    const RecordDecoder &decoder;
    const CallerProtocol &callers;
};

} // namespace bulrush
