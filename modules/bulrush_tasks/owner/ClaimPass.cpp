#include "bulrush_tasks/owner/ClaimPass.h"

#include <algorithm>
#include <limits>

namespace bulrush {

namespace {

std::int64_t copiesThatFit(std::int64_t need, std::int64_t free)
{
    return need <= 0 ? std::numeric_limits<std::int64_t>::max() : free / need;
}

} // namespace

bool ClaimPass::isFull() const
{
    return std::none_of(this->candidates.begin(), this->candidates.end(),
                        [](const auto &candidate) {
                            return candidate.free.cpuMilli > 0 && candidate.free.memoryMb > 0;
                        });
}

bool ClaimPass::fitsAnyCapacity(const Resources &need) const
{
    const auto fits = [&need](const Resources &capacity) { return need.fitsIn(capacity); };
    return this->capacities.empty()
            || std::any_of(this->capacities.begin(), this->capacities.end(), fits);
}

bool ClaimPass::isKnownUnplaceable(const Resources &need) const
{
    return std::any_of(this->unplaceableNeeds.begin(), this->unplaceableNeeds.end(),
                       [&need](const Resources &smaller) { return smaller.fitsIn(need); });
}

std::uint32_t ClaimPass::reserve(const Resources &need, std::uint32_t limit)
{
    std::int64_t reserved = 0;
    for (PlacementCandidate &candidate : this->candidates) {
        const std::int64_t count =
                std::min({ copiesThatFit(need.cpuMilli, candidate.free.cpuMilli),
                           copiesThatFit(need.memoryMb, candidate.free.memoryMb),
                           copiesThatFit(need.accelerators, candidate.free.accelerators),
                           std::int64_t { limit } - reserved });
        candidate.free -=
                { need.cpuMilli * count, need.memoryMb * count, need.accelerators * count };
        reserved += count;
    }
    return static_cast<std::uint32_t>(reserved);
}

} // namespace bulrush
