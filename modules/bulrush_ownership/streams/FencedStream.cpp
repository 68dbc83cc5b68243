#include "bulrush_ownership/streams/FencedStream.h"

namespace bulrush {

BatchVerdict FencedStream::admit(Epoch batchEpoch, std::uint64_t batchSequence)
{
    if (batchSequence == 0) {
        if (batchEpoch <= this->currentEpoch) {
            return batchEpoch < this->currentEpoch ? BatchVerdict::Fenced : BatchVerdict::Duplicate;
        }
        this->restore(batchEpoch, 0);
        return BatchVerdict::Applied;
    }
    if (batchEpoch != this->currentEpoch) {
        return this->guards.fenceOldEpochs ? BatchVerdict::Fenced : BatchVerdict::Applied;
    }
    if (batchSequence <= this->lastSequence && this->guards.batchNeedsSequence) {
        return BatchVerdict::Duplicate;
    }
    this->lastSequence = batchSequence;
    return BatchVerdict::Applied;
}

void FencedStream::restore(Epoch epoch, std::uint64_t sequence)
{
    this->currentEpoch = epoch;
    this->lastSequence = sequence;
}

} // namespace bulrush
