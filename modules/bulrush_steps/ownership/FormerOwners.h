#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/JobRecords.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bulrush {

/**
    Determines until when commands of former owners may still take effect.

    Each former owner on record is waited for. The wait is shortened by its resignation, by proof
    that its process has ended, and by the resignation of a later owner, which states what that
    owner still waited for.
*/
class FormerOwners
{
public:
    /** Starts to wait. An owner that is neither on record nor named by the roster is possible when
        the roster's writer is not among those known, and is then waited for in full.
        @param owners    the owners on record, by fencing token; lower ones are former owners
        @param roster    the newest roster
        @param token     the fencing token of the present owner
        @param settledAt when no command of a former owner can take effect any more */
    void begin(const std::map<std::uint64_t, std::string> &owners, const Roster &roster,
               std::uint64_t token, Instant settledAt);

    /** Takes a resignation into account. Ignored unless its owner is waited for.
        @param settleTime how long commands of an owner may take effect after its resignation */
    void resigned(const Resignation &resignation, Instant now, milliseconds settleTime);

    /** Takes into account that an owner's process has ended or sends no more commands.
        @returns the resignation that this amounts to */
    Resignation ended(std::uint64_t fencingToken, Instant now, milliseconds settleTime);

    /** Returns when no command of any former owner can take effect any more. */
    Instant settledAt() const;

    /** Returns the owners that are waited for, with the remaining times. */
    std::vector<UnsettledOwner> unsettled(Instant now) const;

    /** Returns the owners that are waited for, with their names in the group. */
    std::vector<OwnerRecord> awaited(Instant now) const;

    /** Returns the owners that are waited for and that neither resigned nor ended. */
    std::vector<OwnerRecord> unaccounted(Instant now) const;

private:
    struct Wait
    {
        std::string member;
        Instant until {};
        /** Whether the owner resigned or its process ended. */
        bool accounted = false;
    };

    /** The owners that are waited for, by fencing token; token 0 stands for an unknown owner. */
    std::map<std::uint64_t, Wait> waits;
};

} // namespace bulrush
