#include "bulrush_steps/ownership/FormerOwners.h"

#include <algorithm>

namespace bulrush {

void FormerOwners::begin(const std::map<std::uint64_t, std::string> &owners, const Roster &roster,
                         std::uint64_t token, Instant settledAt)
{
    this->waits.clear();
    for (const auto &[former, member] : owners) {
        if (former < token) {
            this->waits.emplace(former, Wait { member, settledAt });
        }
    }
    for (const OwnerRecord &former : roster.formerOwners) {
        if (former.fencingToken < token) {
            this->waits.try_emplace(former.fencingToken, Wait { former.member, settledAt });
        }
    }
    if (!this->waits.contains(roster.fencingToken)) {
        this->waits[0].until = settledAt;
    }
}

void FormerOwners::resigned(const Resignation &resignation, Instant now, milliseconds settleTime)
{
    const auto found = this->waits.find(resignation.fencingToken);
    const bool unknown = resignation.fencingToken == 0;
    if (unknown || found == this->waits.end() || found->second.accounted) {
        return;
    }
    const Instant limit = found->second.until;
    found->second.until = std::min(limit, now + settleTime);
    found->second.accounted = true;
    std::map<std::uint64_t, milliseconds> left;
    for (const UnsettledOwner &former : resignation.unsettled) {
        left[former.fencingToken] = former.left;
        this->waits.try_emplace(former.fencingToken,
                                Wait { {}, std::min(limit, now + former.left) });
    }
    // An earlier version states one time for all. The unknown owner may have come after this one.
    const milliseconds leftOfOthers = left.contains(0) ? left[0] : milliseconds(0);
    for (auto at = this->waits.upper_bound(0); at != found; ++at) {
        const auto stated = left.find(at->first);
        const milliseconds remaining = stated == left.end() ? leftOfOthers : stated->second;
        at->second.until = std::min(at->second.until, now + remaining);
    }
}

Resignation FormerOwners::ended(std::uint64_t fencingToken, Instant now, milliseconds settleTime)
{
    Resignation resignation;
    resignation.fencingToken = fencingToken;
    for (const UnsettledOwner &former : this->unsettled(now)) {
        if (former.fencingToken < fencingToken) {
            resignation.unsettled.push_back(former);
        }
    }
    this->resigned(resignation, now, settleTime);
    return resignation;
}

Instant FormerOwners::settledAt() const
{
    Instant latest {};
    for (const auto &[token, wait] : this->waits) {
        latest = std::max(latest, wait.until);
    }
    return latest;
}

std::vector<UnsettledOwner> FormerOwners::unsettled(Instant now) const
{
    std::vector<UnsettledOwner> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now) {
            owners.push_back({ token, std::chrono::ceil<milliseconds>(wait.until - now) });
        }
    }
    return owners;
}

std::vector<OwnerRecord> FormerOwners::awaited(Instant now) const
{
    std::vector<OwnerRecord> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now) {
            owners.push_back({ token, wait.member });
        }
    }
    return owners;
}

std::vector<OwnerRecord> FormerOwners::unaccounted(Instant now) const
{
    std::vector<OwnerRecord> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now && !wait.accounted && !wait.member.empty()) {
            owners.push_back({ token, wait.member });
        }
    }
    return owners;
}

} // namespace bulrush
