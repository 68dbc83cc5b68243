#pragma once

/**
    bulrush_interference: estimation and mitigation of interference between batch tasks and
    services.

    Learns the slowdown that each batch class causes to each service from delayed measurements;
    decides when to throttle, checkpoint and move, or evict batch tasks, and when to restore them;
    distinguishes workers that fail every task from tasks that fail on every worker. Pure: no I/O,
    clock, thread or global state.

    Dependencies: bulrush_core.
*/

#include "bulrush_interference/estimates/BatchClassId.h"
#include "bulrush_interference/estimates/PairEstimates.h"
#include "bulrush_interference/evidence/FailureEvidence.h"
#include "bulrush_interference/ladder/Ladder.h"
#include "bulrush_interference/ladder/PressureFilter.h"
#include "bulrush_interference/ladder/TokenBucket.h"
#include "bulrush_interference/weights/PolicyWeights.h"
