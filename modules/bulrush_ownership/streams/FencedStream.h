#pragma once

#include "bulrush_ownership/streams/Guards.h"

#include <cstdint>

namespace bulrush {

/** Number of a group's ownership term; a greater epoch supersedes a smaller one. */
using Epoch = std::uint64_t;

/** The result of validating one batch of a group's stream. */
enum class BatchVerdict : std::uint8_t { Applied, Duplicate, Fenced };

/**
    Validates the batches of one group's stream by their (epoch, sequence).

    Sequence 0 is a fence: it raises the epoch. Any other batch must have the current epoch and a
    greater sequence than the last one, so that a delayed or duplicate append has no effect.
*/
class FencedStream
{
public:
    /** Validates the next batch of the stream. If it is applied, its epoch and sequence become the
        current ones. */
    BatchVerdict admit(Epoch batchEpoch, std::uint64_t batchSequence);

    /** Returns the epoch of the last fence, 0 before the first. */
    Epoch epoch() const { return this->currentEpoch; }

    /** Returns the sequence of the last batch applied in this epoch; 0 after a fence. */
    std::uint64_t sequence() const { return this->lastSequence; }

    /** Restores the epoch and the sequence from a snapshot. */
    void restore(Epoch epoch, std::uint64_t sequence);

private:
    friend struct GuardsAccess;

    Epoch currentEpoch = 0;
    std::uint64_t lastSequence = 0;
    Guards guards;
};

} // namespace bulrush
