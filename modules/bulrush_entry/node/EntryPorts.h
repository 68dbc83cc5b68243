#pragma once

#include "bulrush_entry/front/CallerProtocol.h"
#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/MemberGroup.h"
#include "bulrush_steps/ports/RecordDecoder.h"
#include "bulrush_steps/ports/WorkerOrders.h"

namespace bulrush {

/** All that a node needs of the platform that it runs on. */
struct EntryPorts
{
    KeyedLog &log;
    MemberGroup &group;
    WorkerOrders &workers;
    const RecordDecoder &decoder;
    const CallerProtocol &callers;
};

} // namespace bulrush
