#pragma once

namespace bulrush {

/**
    The rules that keep work from running twice. All are on; only the tests, through GuardsAccess,
    can switch one off to see that the explorer finds the fault that it prevents.
*/
struct Guards
{
    bool claimNeedsNextEpoch = true; ///< a claim's epoch is the present one plus one
    bool claimOfThisProcessOnly = true; ///< a claim of an earlier process of this node is not ours
    bool operationNeedsEpoch = true; ///< a group's operation is of its present epoch
    bool operationNeedsSequence = true; ///< a group's operations are applied in sequence, once
    bool rangesDisjoint = true; ///< a task range is claimed by one group at a time
    bool fenceOldEpochs = true; ///< batches of an older epoch after a fence are void
    bool batchNeedsSequence = true; ///< a batch that was applied is not applied again
    bool refuseTruncated = true; ///< a truncated stream without a snapshot is unusable
    bool startAfterReadBack = true; ///< a start waits until its intent was read back
    bool checkCapacity = true; ///< no commitment beyond a worker's capacity
    bool newAttemptAfterEnd = true; ///< an attempt waits for the end of the one before
    bool boundedValidity = true; ///< exchanges lose their effect after a bounded time
    bool renewalHorizon = true; ///< an old view of the log renews and starts nothing
    bool respectRevocation = true; ///< a revoked worker's leases are not renewed
    bool lapseWait = true; ///< a revoked worker's leases must have run out
    bool goneWait = true; ///< a lost VM's leases must have run out
    bool stopConfirmed = true; ///< an evicted attempt ends when its stop is confirmed
    bool checkpointFromStop = true; ///< an evicted attempt resumes from the stop's checkpoint
    bool endBeforeForget = true; ///< a worker forgets a result after its end is on record
    bool answerInOrder = true; ///< an overtaken answer of a worker is ignored
};

} // namespace bulrush
