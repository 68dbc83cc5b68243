#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_placement/view/Resources.h"

#include <optional>
#include <unordered_map>

namespace bulrush::placement {

/** What each team may use at once, and what it uses. */
class QuotaBook
{
public:
    /** Sets a team's quota; what it already uses beyond a smaller one runs on. */
    void setQuota(const TeamId &team, const Resources &quota);

    /** Removes a team's quota; a team without one may use nothing. */
    void removeQuota(const TeamId &team);

    /** Returns a team's whole quota. */
    std::optional<Resources> quota(const TeamId &team) const;

    /** Returns what a team uses. */
    Resources used(const TeamId &team) const;

    /** Returns whether a team may use so much more. */
    bool canAcquire(const TeamId &team, const Resources &amount) const;

    /** Books an amount, or refuses it and changes nothing. */
    bool take(const TeamId &team, const Resources &amount);

    /** Gives an amount back. */
    void release(const TeamId &team, const Resources &amount);

    /** Returns the largest fraction of its quota that a team uses in any resource. */
    double dominantShare(const TeamId &team) const;

private:
    std::unordered_map<TeamId, Resources> quotas;
    std::unordered_map<TeamId, Resources> usedByTeam;
};

} // namespace bulrush::placement
