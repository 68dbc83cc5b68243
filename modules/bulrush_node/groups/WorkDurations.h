#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_tasks/bulrush_tasks.h"

namespace bulrush {

/** Returns the durations of leases that settings ask for.
    @throws Error naming the first inequality that does not hold
*/
Durations durationsOf(const NodeSettings &settings);

} // namespace bulrush
