#include "bulrush_steps/ownership/FormerOwners.h"

#include <algorithm>

namespace bulrush {

void FormerOwners::begin(std::uint64_t fencingToken, Instant settledAt)
{
    this->waits = { { fencingToken, settledAt } };
    this->resignedOwners.clear();
}

void FormerOwners::resigned(const Resignation &resignation, Instant now, milliseconds settleTime)
{
    const auto found = this->waits.find(resignation.fencingToken);
    if (found == this->waits.end()
        || !this->resignedOwners.insert(resignation.fencingToken).second) {
        return;
    }
    const Instant limit = found->second;
    found->second = std::min(limit, now + settleTime);
    for (const UnsettledOwner &former : resignation.unsettled) {
        Instant &wait = this->waits[former.fencingToken];
        wait = std::max(wait, std::min(limit, now + former.left));
    }
}

Instant FormerOwners::settledAt() const
{
    Instant latest {};
    for (const auto &[token, wait] : this->waits) {
        latest = std::max(latest, wait);
    }
    return latest;
}

std::vector<UnsettledOwner> FormerOwners::unsettled(Instant now) const
{
    std::vector<UnsettledOwner> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait > now) {
            owners.push_back({ token, std::chrono::ceil<milliseconds>(wait - now) });
        }
    }
    return owners;
}

} // namespace bulrush
