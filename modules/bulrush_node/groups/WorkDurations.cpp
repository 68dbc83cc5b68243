#include "bulrush_node/groups/WorkDurations.h"

#include "bulrush_core/errors/Error.h"

namespace bulrush {

Durations durationsOf(const NodeSettings &settings)
{
    Durations durations;
    durations.lease = settings.times.lease;
    durations.renewalHorizon = settings.times.renewalHorizon;
    durations.clockAllowance = settings.times.clockAllowance;
    const std::vector<std::string> broken = checkDurations(durations);
    if (!broken.empty()) {
        throw Error("check settings", "/times", "violated constraint: " + broken.front());
    }
    return durations;
}

} // namespace bulrush
