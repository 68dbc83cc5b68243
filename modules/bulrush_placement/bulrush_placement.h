#pragma once

/**
    bulrush_placement: scheduling of tasks onto workers.

    The ready queue orders tasks by urgency, fair share and age within the teams' quotas. The
    worker table keeps the committed processors, memory and accelerators of each worker and
    rejects commitments beyond its capacity. The placement policy chooses among the workers that
    fit by learned usage, interference and racks. Pure: no I/O, clock, thread or global state.

    Dependencies: bulrush_core, bulrush_interference.
*/

#include "bulrush_placement/policy/FeasibilityCheck.h"
#include "bulrush_placement/policy/PlacementPolicy.h"
#include "bulrush_placement/policy/Reservation.h"
#include "bulrush_placement/queue/QuotaTable.h"
#include "bulrush_placement/queue/ReadyQueue.h"
#include "bulrush_placement/usage/UsageModel.h"
#include "bulrush_placement/view/Resources.h"
#include "bulrush_placement/view/TaskView.h"
#include "bulrush_placement/view/WorkerTable.h"
#include "bulrush_placement/view/WorkerView.h"
