#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_steps/ownership/OwnershipTerm.h"

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
    /** Starts to wait. If the writer of the roster is neither on record nor named by the roster, an
        unknown owner is waited for in full. An owner that was never ready to send commands, since
        a later owner than the writer of the roster, is waited for until its renewals are over only.
        @param owners    the owners on record, by fencing token; lower ones are former owners
        @param roster    the newest roster, read after all former owners were fenced
        @param term      of the present owner */
    void begin(const std::map<std::uint64_t, OwnerRecord> &owners, const Roster &roster,
               const OwnershipTerm &term);

    /** Waits no longer for owners whose records are gone: they never sent a command, or a later
       owner has settled them.
        @param owners the owners on record now */
    void recordsRemoved(const std::map<std::uint64_t, OwnerRecord> &owners);

    /** Takes a resignation into account. Ignored unless its owner is waited for.
        @param settleTime how long commands of an owner may take effect after its resignation */
    void resigned(const Resignation &resignation, Instant now, milliseconds settleTime);

    /** Takes into account that an owner sends no more commands, for example because its process has
        ended.
        @returns the resignation that this amounts to */
    Resignation stopped(std::uint64_t fencingToken, Instant now, milliseconds settleTime);

    /** Returns when no command of any former owner can take effect any more. */
    Instant settledAt() const;

    /** Returns the owners that are waited for, with the remaining times. */
    std::vector<UnsettledOwner> remainingWaits(Instant now) const;

    /** Returns the owners that are waited for, with their names in the group. */
    std::vector<OwnerRecord> awaitedOwners(Instant now) const;

    /** Returns whether all former owners on record put assignments of long-running tasks on
        record. */
    bool recordAssignments() const;

    /** Returns the awaited owners that neither resigned nor are known to have stopped, as far as
        their names are known. */
    std::vector<OwnerRecord> ownersToAsk(Instant now) const;

    /** Returns the tokens of the owners that are waited for, each with what is known of its end. */
    std::string describe(Instant now) const;

private:
    struct Wait
    {
        std::string member;
        Instant until {};
        /** As in OwnerRecord. */
        bool recordsAssignments = false;
        /** Whether the owner put no roster on record, so that it started nothing. */
        bool wasUnready = false;
        /** Whether the owner resigned or is known to have stopped. */
        bool hasStopped = false;
        /** Whether the owner's own record names it, which goes once it need not be waited for. */
        bool onRecord = false;
    };

    /** When no command of any former owner can take effect any more, at the latest. */
    Instant fullWaitUntil {};
    /** The owners that are waited for, by fencing token; token 0 stands for an unknown owner. */
    std::map<std::uint64_t, Wait> waits;
};

} // namespace bulrush
