#pragma once

#include "bulrush_tasks/model/Task.h"
#include "bulrush_tasks/owner/PlacementStrategy.h"

#include <map>
#include <vector>

namespace bulrush {

/** One pass over the backlog of jobs, in which a group claims the tasks that fit into the free
    resources of its workers. */
struct ClaimPass
{
    std::vector<PlacementCandidate> candidates; ///< free resources shrink as tasks are claimed
    std::map<TeamId, Resources> usage; ///< of all groups, compared with the quotas
    std::vector<Resources> capacities; ///< of the group's workers; empty while any is unknown
    std::vector<Resources> unplaceableNeeds; ///< needs that fitted on no worker in this pass

    /** Returns whether no worker has both processors and memory left, so that no task which needs
        both can fit. */
    bool isFull() const;

    /** Returns whether the need fits on an empty worker; true while a capacity is unknown. */
    bool fitsAnyCapacity(const Resources &need) const;

    /** Returns whether this need, or a smaller one, was found to fit on no worker earlier in this
        pass. As the free resources only shrink during a pass, it still fits on none. */
    bool isKnownUnplaceable(const Resources &need) const;

    /** Reserves resources for as many tasks as fit. @returns their number, at most `limit` */
    std::uint32_t reserve(const Resources &need, std::uint32_t limit);
};

} // namespace bulrush
