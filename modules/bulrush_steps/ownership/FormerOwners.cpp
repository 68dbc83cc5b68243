#include "bulrush_steps/ownership/FormerOwners.h"

#include <algorithm>

namespace bulrush {

void FormerOwners::begin(const std::map<std::uint64_t, OwnerRecord> &owners, const Roster &roster,
                         const OwnershipTerm &term)
{
    this->waits.clear();
    this->fullWaitUntil = term.previousOwnerSettledAt;
    const auto add = [this, &roster, &term](const OwnerRecord &former) {
        if (former.fencingToken >= term.fencingToken) {
            return;
        }
        // An earlier version writes a roster without its token, which may replace a later one.
        const bool wasUnready = former.commandsAfterRoster && roster.fencingToken != 0
                && former.fencingToken > roster.fencingToken;
        const Instant until = wasUnready ? term.unreadyOwnerSettledAt : term.previousOwnerSettledAt;
        this->waits.try_emplace(
                former.fencingToken,
                Wait { former.member, until, former.recordsAssignments, wasUnready });
    };
    for (const auto &[former, record] : owners) {
        add(record);
    }
    for (auto &[former, wait] : this->waits) {
        wait.onRecord = true;
    }
    std::for_each(roster.formerOwners.begin(), roster.formerOwners.end(), add);
    if (!this->waits.contains(roster.fencingToken)) {
        this->waits[0] = Wait { {}, term.previousOwnerSettledAt, roster.recordsAssignments };
    }
}

void FormerOwners::recordsRemoved(const std::map<std::uint64_t, OwnerRecord> &owners)
{
    std::erase_if(this->waits, [&owners](const auto &entry) {
        return entry.second.onRecord && !owners.contains(entry.first);
    });
}

void FormerOwners::resigned(const Resignation &resignation, Instant now, milliseconds settleTime)
{
    const auto found = this->waits.find(resignation.fencingToken);
    const bool unknown = resignation.fencingToken == 0;
    if (unknown || found == this->waits.end() || found->second.hasStopped) {
        return;
    }
    const Instant limit = found->second.until;
    found->second.until = std::min(limit, now + settleTime);
    found->second.hasStopped = true;
    std::map<std::uint64_t, milliseconds> left;
    for (const UnsettledOwner &former : resignation.unsettled) {
        left[former.fencingToken] = former.left;
        this->waits.try_emplace(former.fencingToken,
                                Wait { {},
                                       std::min(this->fullWaitUntil, now + former.left),
                                       former.recordsAssignments });
    }
    // An earlier version states one time for all its predecessors, under token 0. The wait for an
    // unknown owner is kept, as that may have come after the one that resigned.
    const milliseconds leftOfOthers = left.contains(0) ? left[0] : milliseconds(0);
    for (auto at = this->waits.upper_bound(0); at != found; ++at) {
        const auto stated = left.find(at->first);
        const milliseconds remaining = stated == left.end() ? leftOfOthers : stated->second;
        at->second.until = std::min(at->second.until, now + remaining);
    }
}

Resignation FormerOwners::stopped(std::uint64_t fencingToken, Instant now, milliseconds settleTime)
{
    Resignation resignation;
    resignation.fencingToken = fencingToken;
    for (const UnsettledOwner &former : this->remainingWaits(now)) {
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

std::vector<UnsettledOwner> FormerOwners::remainingWaits(Instant now) const
{
    std::vector<UnsettledOwner> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now) {
            owners.push_back({ token, std::chrono::ceil<milliseconds>(wait.until - now),
                               wait.recordsAssignments });
        }
    }
    return owners;
}

std::vector<OwnerRecord> FormerOwners::awaitedOwners(Instant now) const
{
    std::vector<OwnerRecord> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now) {
            owners.push_back({ token, wait.member, wait.recordsAssignments });
        }
    }
    return owners;
}

bool FormerOwners::recordAssignments() const
{
    return std::all_of(this->waits.begin(), this->waits.end(),
                       [](const auto &entry) { return entry.second.recordsAssignments; });
}

std::vector<OwnerRecord> FormerOwners::ownersToAsk(Instant now) const
{
    std::vector<OwnerRecord> owners;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now && !wait.hasStopped && !wait.member.empty()) {
            owners.push_back({ token, wait.member, wait.recordsAssignments });
        }
    }
    return owners;
}

std::string FormerOwners::describe(Instant now) const
{
    std::string text;
    for (const auto &[token, wait] : this->waits) {
        if (wait.until > now) {
            text += text.empty() ? "" : " ";
            text += std::to_string(token) + (wait.hasStopped ? ":stopped" : ":silent")
                    + (wait.wasUnready ? ":unready" : "");
        }
    }
    return text;
}

} // namespace bulrush
