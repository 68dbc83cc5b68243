#pragma once

/**
    bulrush_routing: selects the target of a caller's request and determines the outcome that the
    caller receives.

    Deterministic and free of I/O: the time is passed in and the random generator is seeded. The
    user of Router passes events to it and executes the actions that it returns.

    - targets: state of each target, and the subset of targets that this node uses
    - choice: strategies for selecting a target
    - admission: bounded queue by class, refusal with a randomised Retry-After
    - budgets: retries, hedges and ejection of outliers
    - connections: selection of the connection of a target that carries a request
    - requests: state of each caller's request; Router combines all of the above

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
