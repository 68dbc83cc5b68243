#pragma once

#include "bulrush_routing/targets/TargetTable.h"

#include <vector>

namespace bulrush::routing {

/**
    Ejects targets with consecutive failures. The ejection time doubles with each ejection, up to
    maxEjectionTime. At least half of the targets of a data centre stay in use, even if all of them
    fail. A failing target that is kept for this reason stays at or above failureThreshold for
    baseEjectionTime unless it succeeds earlier; StrategyKind::Product penalises it meanwhile among
    targets of equal cost. @see TargetTable::setConsecutiveFailures
*/
class OutlierEjector
{
public:
    static constexpr unsigned failureThreshold = 5;
    static constexpr Duration baseEjectionTime = seconds(5);
    static constexpr Duration maxEjectionTime = seconds(60);

    /** Maximum share of the targets of a data centre that may be ejected. */
    static constexpr double maxEjectedShare = 0.5;

    /** Records an answer that is not a failure. */
    void recordSuccess(TargetTable &table, TargetIndex index);

    /** Records a failure; ejects the target at the failure threshold unless too many of its data
        centre's targets are ejected. */
    void recordFailure(TargetTable &table, TargetIndex index, Instant now);

    /** Returns targets to service whose ejection time has passed. */
    void tick(TargetTable &table, Instant now);

    /** Clears the state of an index when it is assigned to another target. */
    void reset(TargetIndex index);

private:
    struct Record
    {
        unsigned ejections = 0;
        Instant failingUntil {};
        /** Whether the failure threshold was reached, even if the target was not ejected. */
        bool failing = false;
    };

    Record &recordOf(TargetIndex index);

    std::vector<Record> records;
};

} // namespace bulrush::routing
