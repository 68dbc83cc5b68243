#include "bulrush_tasks/owner/PlacementStrategy.h"

#include <algorithm>

namespace bulrush {

std::optional<VmId> FirstFit::choose(const PlacementRequest &request,
                                     std::span<const PlacementCandidate> candidates)
{
    std::optional<VmId> fallback;
    for (const PlacementCandidate &candidate : candidates) {
        if (!request.need.fitsIn(candidate.free)) {
            continue;
        }
        const auto &failed = request.failedOn;
        if (std::find(failed.begin(), failed.end(), candidate.worker) == failed.end()) {
            return candidate.worker;
        }
        fallback = fallback ? fallback : candidate.worker;
    }
    return fallback;
}

} // namespace bulrush
