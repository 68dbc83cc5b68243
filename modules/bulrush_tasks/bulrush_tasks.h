#pragma once

/**
    bulrush_tasks: runs tasks on the workers of a group, each at most once at a time.

    Batch tasks, watchers and service replicas all go through the same steps: an intent record in
    the log, a start command, an end record in the log. GroupOwner is the state machine of one
    group's owner; Renewer renews leases from any node of the data centre. Neither performs I/O:
    the caller passes in log records, answers and the time, and executes the returned actions.

    Needs: bulrush_core, bulrush_ownership, nlohmann_json.
*/

#include "bulrush_tasks/leases/Durations.h"
#include "bulrush_tasks/leases/Renewer.h"
#include "bulrush_tasks/model/JobRegistry.h"
#include "bulrush_tasks/model/Task.h"
#include "bulrush_tasks/owner/Actions.h"
#include "bulrush_tasks/owner/FailureEvidence.h"
#include "bulrush_tasks/owner/GroupOwner.h"
#include "bulrush_tasks/owner/PlacementStrategy.h"
#include "bulrush_tasks/records/GroupRecords.h"
#include "bulrush_tasks/records/GroupState.h"
#include "bulrush_tasks/workers/Exchange.h"
#include "bulrush_tasks/workers/WorkerLedger.h"
