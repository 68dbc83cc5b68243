#pragma once

/**
    bulrush_routing: decides where a caller's request goes and what the caller is told.

    Pure: the time is passed in, randomness is seeded, and all input and output is left to the
    user of Router, which feeds events in and carries out the actions that come back.

    - targets: what is known of each executor, and which of them this node uses
    - choice: strategies that pick an executor
    - admission: bounded queue by class, refusal with a spread Retry-After
    - budgets: retries, hedges and ejection of outliers
    - connections: which connection of an executor carries a request
    - requests: the state of each caller's request, tied together in Router

    Needs: bulrush_core.
*/

#include "bulrush_routing/admission/Admission.h"
#include "bulrush_routing/budgets/HedgePolicy.h"
#include "bulrush_routing/budgets/OutlierEjector.h"
#include "bulrush_routing/budgets/RetryBudget.h"
#include "bulrush_routing/choice/TargetChooser.h"
#include "bulrush_routing/connections/ConnectionPool.h"
#include "bulrush_routing/requests/Action.h"
#include "bulrush_routing/requests/Request.h"
#include "bulrush_routing/requests/Router.h"
#include "bulrush_routing/targets/Subset.h"
#include "bulrush_routing/targets/TargetTable.h"
