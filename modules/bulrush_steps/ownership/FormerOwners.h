#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/JobRecords.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace bulrush {

/**
    Determines until when commands of former owners may still take effect.

    An owner first waits for its direct predecessor. The resignation of an owner that is waited for
    shortens the wait for it, and replaces it by shorter waits for the owners that it was itself
    waiting for. Those may resign later, for example one that was cut off from the store and has
    only now learned of its successors.
*/
class FormerOwners
{
public:
    /** Starts to wait for one owner and all that came before it.
        @param fencingToken the owner's; 0 when it is unknown
        @param settledAt    when none of their commands can take effect any more */
    void begin(std::uint64_t fencingToken, Instant settledAt);

    /** Takes a resignation into account. Ignored unless its owner is waited for.
        @param settleTime how long commands of an owner may take effect after its resignation */
    void resigned(const Resignation &resignation, Instant now, milliseconds settleTime);

    /** Returns when no command of any former owner can take effect any more. */
    Instant settledAt() const;

    /** Returns the owners that are waited for, with the remaining times. */
    std::vector<UnsettledOwner> unsettled(Instant now) const;

private:
    /** The owners that are waited for, with the end of the wait, by fencing token. */
    std::map<std::uint64_t, Instant> waits;
    /** The owners whose resignations were taken into account. */
    std::set<std::uint64_t> resignedOwners;
};

} // namespace bulrush
