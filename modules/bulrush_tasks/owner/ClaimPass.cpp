#include "bulrush_tasks/owner/ClaimPass.h"

#include <algorithm>
#include <limits>

namespace bulrush {

namespace {

std::int64_t timesIn(std::int64_t need, std::int64_t room)
{
    return need <= 0 ? std::numeric_limits<std::int64_t>::max() : room / need;
}

} // namespace

bool ClaimPass::isFull() const
{
    return std::none_of(this->room.begin(), this->room.end(), [](const auto &candidate) {
        return candidate.free.cpuMilli > 0 && candidate.free.memoryMb > 0;
    });
}

bool ClaimPass::canEverHold(const Resources &need) const
{
    const auto holds = [&need](const Resources &capacity) { return need.fitsIn(capacity); };
    return this->capacities.empty()
            || std::any_of(this->capacities.begin(), this->capacities.end(), holds);
}

bool ClaimPass::isKnownNotToFit(const Resources &need) const
{
    return std::any_of(this->notFitting.begin(), this->notFitting.end(),
                       [&need](const Resources &smaller) { return smaller.fitsIn(need); });
}

std::uint32_t ClaimPass::takeRoom(const Resources &need, std::uint32_t most)
{
    std::int64_t taken = 0;
    for (PlacementCandidate &candidate : this->room) {
        const std::int64_t fits =
                std::min({ timesIn(need.cpuMilli, candidate.free.cpuMilli),
                           timesIn(need.memoryMb, candidate.free.memoryMb),
                           timesIn(need.accelerators, candidate.free.accelerators),
                           std::int64_t { most } - taken });
        candidate.free -= { need.cpuMilli * fits, need.memoryMb * fits, need.accelerators * fits };
        taken += fits;
    }
    return static_cast<std::uint32_t>(taken);
}

} // namespace bulrush
