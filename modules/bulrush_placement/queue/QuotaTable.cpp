#include "bulrush_placement/queue/QuotaTable.h"

#include <algorithm>

namespace bulrush::placement {

namespace {

double fraction(std::int64_t part, std::int64_t whole)
{
    if (whole > 0) {
        return static_cast<double>(part) / static_cast<double>(whole);
    }
    return part > 0 ? 1.0 : 0.0;
}

} // namespace

void QuotaTable::setQuota(const TeamId &team, const Resources &quota)
{
    this->quotas[team] = quota;
}

void QuotaTable::removeQuota(const TeamId &team)
{
    this->quotas.erase(team);
}

std::optional<Resources> QuotaTable::quota(const TeamId &team) const
{
    const auto found = this->quotas.find(team);
    return found == this->quotas.end() ? std::nullopt : std::optional(found->second);
}

Resources QuotaTable::used(const TeamId &team) const
{
    const auto found = this->usedByTeam.find(team);
    return found == this->usedByTeam.end() ? Resources {} : found->second;
}

bool QuotaTable::canAcquire(const TeamId &team, const Resources &amount) const
{
    const auto quota = this->quotas.find(team);
    return quota != this->quotas.end() && (this->used(team) + amount).fitsIn(quota->second);
}

bool QuotaTable::acquire(const TeamId &team, const Resources &amount)
{
    if (!this->canAcquire(team, amount)) {
        return false;
    }
    this->usedByTeam[team] += amount;
    return true;
}

void QuotaTable::release(const TeamId &team, const Resources &amount)
{
    this->usedByTeam[team] -= amount;
}

double QuotaTable::dominantShare(const TeamId &team) const
{
    const auto quota = this->quotas.find(team);
    if (quota == this->quotas.end()) {
        return 1.0;
    }
    const Resources used = this->used(team);
    const double cpu = fraction(used.cpuMilli, quota->second.cpuMilli);
    const double memory = fraction(used.memoryMb, quota->second.memoryMb);
    const double accelerators = fraction(used.accelerators, quota->second.accelerators);
    return std::max({ cpu, memory, accelerators });
}

} // namespace bulrush::placement
