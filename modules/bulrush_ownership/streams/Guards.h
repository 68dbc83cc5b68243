#pragma once

namespace bulrush {

/**
    Safety rules that prevent double runs, overcommitted workers and lost results. All are enabled;
    only the tests can disable one, through GuardsAccess, to check that the explorer finds the fault
    that the rule prevents.
*/
struct Guards
{
    bool claimNeedsNextEpoch = true; ///< a claim's epoch is the current one plus one
    bool claimOfThisProcessOnly = true; ///< claims by a node's earlier processes grant nothing
    bool operationNeedsEpoch = true; ///< an operation has its group's current epoch
    bool operationNeedsSequence = true; ///< a group's operations are applied once, in sequence
    bool rangesDisjoint = true; ///< a task range is claimed by one group at a time
    bool fenceOldEpochs = true; ///< batches of an older epoch after a fence are ignored
    bool batchNeedsSequence = true; ///< a batch is not applied a second time
    bool refuseTruncated = true; ///< a truncated stream without a snapshot is not usable
    bool startAfterReadBack = true; ///< an attempt starts only after its intent was read back
    bool checkCapacity = true; ///< commitments do not exceed a worker's capacity
    bool newAttemptAfterEnd = true; ///< an attempt starts only after the previous one ended
    bool boundedValidity = true; ///< an exchange expires after a bounded time
    bool renewalHorizon = true; ///< an outdated view of the log allows no renewal or start
    bool respectRevocation = true; ///< a revoked worker's leases are not renewed
    bool lapseWait = true; ///< a revoked worker is treated as lost only after its leases expired
    bool goneWait = true; ///< an unlisted VM is treated as lost only after its leases expired
    bool stopConfirmed = true; ///< an evicted attempt ends only once its stop is confirmed
    bool checkpointFromStop = true; ///< an evicted attempt resumes from the stop's checkpoint
    bool endBeforeForget = true; ///< a worker keeps a result until its end is recorded
    bool answerInOrder = true; ///< late answers and those to earlier exchanges are ignored
};

} // namespace bulrush
