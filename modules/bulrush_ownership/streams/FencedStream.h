#pragma once

#include "bulrush_ownership/streams/Guards.h"

#include <cstdint>

namespace bulrush {

/** Counts the owners of a group; a greater epoch replaces a smaller one. */
using Epoch = std::uint64_t;

/** What became of a batch at its position in a group's stream. */
enum class BatchVerdict : std::uint8_t { Applied, Duplicate, Fenced };

/**
    Admits the batches of one group's stream by their (epoch, sequence).

    Sequence 0 is a fence: it raises the epoch. Any other batch must be of the present epoch and
    of a greater sequence than the last, so that a late or doubled append has no effect.
*/
class FencedStream
{
public:
    /** Decides on the batch at the next position of the stream. */
    BatchVerdict admit(Epoch batchEpoch, std::uint64_t batchSequence);

    /** Returns the epoch of the last fence, 0 before the first. */
    Epoch epoch() const { return this->currentEpoch; }

    /** Returns the sequence of the last batch that was applied in this epoch. */
    std::uint64_t sequence() const { return this->lastSequence; }

    /** Sets the position from a snapshot. */
    void restore(Epoch epoch, std::uint64_t sequence);

private:
    friend struct GuardsAccess;

    Epoch currentEpoch = 0;
    std::uint64_t lastSequence = 0;
    Guards guards;
};

} // namespace bulrush
