#pragma once

/**
    bulrush_evacuation: evacuation of data centres, and workers that are cold after a start.

    Keeps the operators' evacuation requests; decides whether a start may be sent, which
   long-running runs leave an evacuated data centre next, and how many starts a cold worker takes.
   Pure: no I/O, clock, thread or global state.

    Dependencies: bulrush_core.
*/

#include "bulrush_evacuation/cold/ColdStartLimit.h"
#include "bulrush_evacuation/gate/EvacuationGate.h"
#include "bulrush_evacuation/moves/EvacuationMoves.h"
#include "bulrush_evacuation/requests/EvacuationRequests.h"
