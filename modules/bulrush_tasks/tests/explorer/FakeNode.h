#pragma once

#include "FakeLog.h"
#include "GuardsAccess.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::explorer {

/** One entry VM's daemon: the owners of all groups, the view of `work`, the renewer. */
class FakeNode
{
public:
    FakeNode(const NodeId &id, const Durations &durations, const Guards &guards,
             const std::vector<GroupId> &groupIds);

    /** Starts a new process: everything in memory is lost. */
    void restart();

    /** Takes what a read of a stream answered. @param askedAt when the read was sent */
    void takeRead(const std::string &stream, const StreamRead &read, Instant askedAt);

    /** Returns the streams that the node follows now, with the next offset of each. */
    std::map<std::string, std::uint64_t> followed() const;

    /** Returns everything that is due. */
    std::vector<Action> tick(Instant now, const JobBook &jobs);

    /** Returns the exchanges of the renewer. */
    std::vector<ExchangeAction> renew(Instant now, const std::vector<RenewalTarget> &targets);

    void answered(const GroupId &group, const ExchangeAnswer &answer, bool toRenewer, Instant now);

    GroupOwner &owner(const GroupId &group) { return *this->owners.at(group); }
    void want(const GroupId &group, bool wanted);
    bool wants(const GroupId &group) const { return this->owners.at(group)->isWanted(); }
    bool owns(const GroupId &group) const;

    const NodeId &id() const { return this->nodeId; }
    std::uint64_t life() const { return this->lives; }

    bool alive = true;
    Instant pausedUntil {};
    std::int64_t clockRatePpm = 0;

private:
    void applyGuards();
    WorkView view() const;

    NodeId nodeId;
    Durations durations;
    Guards guards;
    std::uint64_t lives = 0;
    FirstFit placement;
    StreamFollower<GroupClaims> work;
    Instant workReadAt {};
    std::unique_ptr<Renewer> renewer;
    std::map<GroupId, std::unique_ptr<GroupOwner>> owners;
    std::vector<GroupId> groups;
};

} // namespace bulrush::explorer
