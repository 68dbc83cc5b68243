#include "Mutations.h"

#include <array>

namespace bulrush::explorer {

namespace {

constexpr std::array allMutations {
    Mutation { "claimNeedsNextEpoch", &Guards::claimNeedsNextEpoch, nullptr },
    Mutation { "claimOfThisProcessOnly", &Guards::claimOfThisProcessOnly, nullptr },
    Mutation { "operationNeedsEpoch", &Guards::operationNeedsEpoch, nullptr },
    Mutation { "operationNeedsSequence", &Guards::operationNeedsSequence, nullptr },
    Mutation { "rangesDisjoint", &Guards::rangesDisjoint, nullptr },
    Mutation { "fenceOldEpochs", &Guards::fenceOldEpochs, nullptr },
    Mutation { "batchNeedsSequence", &Guards::batchNeedsSequence, nullptr },
    Mutation { "refuseTruncated", &Guards::refuseTruncated, nullptr },
    Mutation { "startAfterReadBack", &Guards::startAfterReadBack, nullptr },
    Mutation { "checkCapacity", &Guards::checkCapacity, nullptr },
    Mutation { "newAttemptAfterEnd", &Guards::newAttemptAfterEnd, nullptr },
    Mutation { "boundedValidity", &Guards::boundedValidity, nullptr },
    Mutation { "renewalHorizon", &Guards::renewalHorizon, nullptr },
    Mutation { "respectRevocation", &Guards::respectRevocation, nullptr },
    Mutation { "lapseWait", &Guards::lapseWait, nullptr },
    Mutation { "goneWait", &Guards::goneWait, nullptr },
    Mutation { "stopConfirmed", &Guards::stopConfirmed, nullptr },
    Mutation { "checkpointFromStop", &Guards::checkpointFromStop, nullptr },
    Mutation { "endBeforeForget", &Guards::endBeforeForget, nullptr },
    Mutation { "answerInOrder", &Guards::answerInOrder, nullptr },
    Mutation { "worker: compareToken", nullptr, &WorkerGuards::compareToken },
    Mutation { "worker: compareIncarnation", nullptr, &WorkerGuards::compareIncarnation },
    Mutation { "worker: compareValidity", nullptr, &WorkerGuards::compareValidity },
    Mutation { "worker: runsOutLeases", nullptr, &WorkerGuards::runsOutLeases },
};

} // namespace

std::span<const Mutation> mutations()
{
    return allMutations;
}

Trial mutatedTrial(const Mutation &mutation)
{
    Trial trial;
    if (mutation.guard != nullptr) {
        trial.guards.*mutation.guard = false;
    } else {
        trial.workerGuards.*mutation.workerGuard = false;
    }
    return trial;
}

} // namespace bulrush::explorer
