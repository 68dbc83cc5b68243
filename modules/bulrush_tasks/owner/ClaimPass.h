#pragma once

#include "bulrush_tasks/model/Task.h"
#include "bulrush_tasks/owner/PlacementStrategy.h"

#include <map>
#include <vector>

namespace bulrush {

/** One pass over the backlog of jobs, in which a group claims what fits into its free room. */
struct ClaimPass
{
    std::vector<PlacementCandidate> room; ///< shrinks as tasks are claimed
    std::map<TeamId, Resources> usage; ///< of all groups, for quotas
    std::vector<Resources> capacities; ///< of the group's workers; empty while one is unknown
    std::vector<Resources> notFitting; ///< needs that found no room in this pass

    /** Returns whether no task at all could fit. */
    bool isFull() const;

    /** Returns whether some worker could hold the need if it were empty. */
    bool canEverHold(const Resources &need) const;

    /** Returns whether a need at most as large found no room before: room only shrinks. */
    bool isKnownNotToFit(const Resources &need) const;

    /** Takes the room of as many tasks as fit. @returns their number, at most `most` */
    std::uint32_t takeRoom(const Resources &need, std::uint32_t most);
};

} // namespace bulrush
