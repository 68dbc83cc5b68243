#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_tasks/bulrush_tasks.h"

namespace bulrush {

/** Returns the durations of leases from the settings.
    @throws Error that names the first violated inequality
*/
Durations durationsOf(const NodeSettings &settings);

} // namespace bulrush
