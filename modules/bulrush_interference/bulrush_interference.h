#pragma once

/**
    bulrush_interference: how batch work disturbs services, and what to do about it.

    Learns the slowdown that each batch class causes to each service from lagging measurements,
    steps up and down the ladder throttle, checkpoint and move, evict, and tells workers that
    fail everything from tasks that fail everywhere. Pure: no I/O, clock, thread or global state.

    Needs: bulrush_core.
*/

#include "bulrush_interference/estimates/BatchClassId.h"
#include "bulrush_interference/estimates/PairEstimates.h"
#include "bulrush_interference/evidence/FailureEvidence.h"
#include "bulrush_interference/ladder/Ladder.h"
#include "bulrush_interference/ladder/PressureFilter.h"
#include "bulrush_interference/ladder/TokenBucket.h"
#include "bulrush_interference/weights/PolicyWeights.h"
