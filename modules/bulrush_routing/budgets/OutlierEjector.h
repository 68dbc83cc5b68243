#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <vector>

namespace bulrush::routing {

/**
    Ejects targets that fail request after request, for a time that grows with each ejection.
    A floor keeps at least half of a data centre's targets in use, whatever they do; one that the
    floor keeps is a last resort for as long. @see TargetTable::setFailuresInARow
*/
class OutlierEjector
{
public:
    static constexpr unsigned failuresInARow = 5;
    static constexpr Duration firstTerm = seconds(5);
    static constexpr Duration longestTerm = seconds(60);

    /** Largest share of a data centre's targets that may be ejected. */
    static constexpr double largestShare = 0.5;

    /** Notes an answer that was no failure. */
    void noteSuccess(TargetTable &table, TargetIndex index);

    /** Notes a failure and ejects the target when it is due and the floor allows it. */
    void noteFailure(TargetTable &table, TargetIndex index, Instant now);

    /** Lets targets return whose term is over. */
    void tick(TargetTable &table, Instant now);

    /** Forgets a target, since its index goes to another. */
    void forget(TargetIndex index);

private:
    struct Record
    {
        unsigned ejections = 0;
        Instant until {};
        /** Due for ejection, whether or not the floor allowed it. */
        bool failing = false;
    };

    Record &recordOf(TargetIndex index);

    std::vector<Record> records;
};

} // namespace bulrush::routing
