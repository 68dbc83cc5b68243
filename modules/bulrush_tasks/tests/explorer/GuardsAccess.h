#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

namespace bulrush {

/** Sets the guards of the classes under test; nothing else can disable a guard. */
struct GuardsAccess
{
    static void apply(const Guards &guards, StreamFollower<GroupClaims> &work)
    {
        work.guards = guards;
        work.current.guards = guards;
    }

    static void apply(const Guards &guards, Renewer &renewer) { renewer.guards = guards; }

    static void apply(const Guards &guards, GroupOwner &owner)
    {
        owner.guards = guards;
        owner.group.guards = guards;
        owner.group.current.guards = guards;
        owner.group.current.fenced.guards = guards;
        for (auto &[id, worker] : owner.managed) {
            worker.ledger.guards = guards;
        }
    }
};

} // namespace bulrush
