#pragma once

#include "FakeLog.h"
#include "GuardsAccess.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::explorer {

/** Simulates one entry VM's daemon: the owners of all groups, the view of `work`, the renewer. */
class FakeNode
{
public:
    FakeNode(const NodeId &id, const Durations &durations, const Guards &guards,
             const std::vector<GroupId> &groupIds);

    /** Starts a new process; all state in memory is lost. */
    void restart();

    /** Applies the result of a read of a stream. @param requestedAt when the read was sent */
    void applyRead(const std::string &stream, const StreamRead &read, Instant requestedAt);

    /** Returns the streams that the node currently follows, with the next offset of each. */
    std::map<std::string, std::uint64_t> followedStreams() const;

    /** Returns the actions that are due. */
    std::vector<Action> tick(Instant now, const JobRegistry &jobs);

    /** Returns the renewer's exchanges that are due. */
    std::vector<ExchangeAction> renew(Instant now, const std::vector<RenewalTarget> &targets);

    void handleAnswer(const GroupId &group, const ExchangeAnswer &answer, bool forRenewer,
                      Instant now);

    GroupOwner &owner(const GroupId &group) { return *this->owners.at(group); }
    void setOwnershipWanted(const GroupId &group, bool wanted);
    bool isOwnershipWanted(const GroupId &group) const
    {
        return this->owners.at(group)->isWanted();
    }
    bool owns(const GroupId &group) const;

    const NodeId &id() const { return this->nodeId; }
    std::uint64_t incarnation() const { return this->incarnationNumber; }

    bool alive = true;
    Instant pausedUntil {};
    std::int64_t clockRatePpm = 0;

private:
    void applyGuards();
    WorkView view() const;

    NodeId nodeId;
    Durations durations;
    Guards guards;
    std::uint64_t incarnationNumber = 0;
    FirstFit placement;
    StreamFollower<GroupClaims> work;
    Instant workReadAt {};
    std::unique_ptr<Renewer> renewer;
    std::map<GroupId, std::unique_ptr<GroupOwner>> owners;
    std::vector<GroupId> groups;
};

} // namespace bulrush::explorer
