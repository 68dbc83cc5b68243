#include "bulrush_entry/front/JobAdmission.h"

#include <limits>

namespace bulrush {

namespace {

/** Minimum time between two questions to the owner. */
constexpr milliseconds askInterval { 1000 };

/** The share of a node's memory for the jobs that have not ended. An owner holds them twice: as it
    read them and as they are now. */
constexpr std::size_t memoryDivisor = 4;

constexpr std::size_t bytesPerMb = 1U << 20U;

std::size_t budgetOf(std::size_t memoryMb)
{
    return memoryMb == 0 ? std::numeric_limits<std::size_t>::max()
                         : memoryMb * bytesPerMb / memoryDivisor;
}

} // namespace

JobAdmission::JobAdmission(const Clock &systemClock, std::size_t memoryMb)
    : clock(systemClock)
    , maxBytes(budgetOf(memoryMb))
{
}

bool JobAdmission::mustAsk()
{
    const Instant now = this->clock.now();
    if (this->askedAt && now - *this->askedAt < askInterval) {
        return false;
    }
    this->askedAt = now;
    return true;
}

void JobAdmission::reported(std::size_t bytes)
{
    this->reportedBytes = bytes;
    this->recordedSince = 0;
}

bool JobAdmission::admits(std::size_t bytes) const
{
    return this->reportedBytes + this->recordedSince + bytes <= this->maxBytes;
}

} // namespace bulrush
