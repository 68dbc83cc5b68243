#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <optional>

namespace bulrush {

/**
    Decides whether another job fits into the memory of the nodes.

    The owner keeps all jobs that have not ended, and so does each node that may succeed it. It
   tells the other nodes how much they take. A job that does not fit is refused before it is
   recorded, since what is recorded must be kept.

    @see StepJobTable::memoryOf
*/
class JobAdmission
{
public:
    /** @param memoryMb of a node; 0 when it has no limit */
    JobAdmission(const Clock &clock, std::size_t memoryMb);

    /** Returns whether the owner is to be asked now how much the jobs take, and notes that it is.
     */
    bool mustAsk();

    /** Notes the owner's answer. @param bytes that the jobs take that have not ended */
    void reported(std::size_t bytes);

    /** Returns whether a job that takes so many bytes fits. */
    bool admits(std::size_t bytes) const;

    /** Notes that a job was recorded, which the owner's last answer does not contain. */
    void recorded(std::size_t bytes) { this->recordedSince += bytes; }

private:
    const Clock &clock;
    const std::size_t maxBytes;
    std::size_t reportedBytes = 0;
    std::size_t recordedSince = 0;
    std::optional<Instant> askedAt;
};

} // namespace bulrush
