#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_placement/view/Resources.h"

#include <optional>
#include <unordered_map>

namespace bulrush::placement {

/** The quota and the current usage of each team. */
class QuotaTable
{
public:
    /** Sets a team's quota; tasks that already run beyond a reduced quota are not stopped. */
    void setQuota(const TeamId &team, const Resources &quota);

    /** Removes a team's quota; a team without one may use nothing. */
    void removeQuota(const TeamId &team);

    /** Returns a team's quota, including the part in use; nothing if the team has none. */
    std::optional<Resources> quota(const TeamId &team) const;

    /** Returns the amount that a team has acquired. */
    Resources used(const TeamId &team) const;

    /** Returns whether a team's quota allows it to acquire an additional amount. */
    bool canAcquire(const TeamId &team, const Resources &amount) const;

    /** Acquires an amount. @returns false, with nothing changed, if the quota does not allow it */
    bool acquire(const TeamId &team, const Resources &amount);

    /** Releases an acquired amount. */
    void release(const TeamId &team, const Resources &amount);

    /** Returns the dominant share of a team: the largest fraction of its quota in use, over all
        resources; 1 for a team without a quota. */
    double dominantShare(const TeamId &team) const;

private:
    std::unordered_map<TeamId, Resources> quotas;
    std::unordered_map<TeamId, Resources> usedByTeam;
};

} // namespace bulrush::placement
