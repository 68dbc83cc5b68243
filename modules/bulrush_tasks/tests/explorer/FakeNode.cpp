#include "FakeNode.h"

namespace bulrush::explorer {

FakeNode::FakeNode(const NodeId &id, const Durations &nodeDurations, const Guards &nodeGuards,
                   const std::vector<GroupId> &groupIds)
    : nodeId(id)
    , durations(nodeDurations)
    , guards(nodeGuards)
    , groups(groupIds)
{
    this->restart();
}

void FakeNode::restart()
{
    ++this->incarnationNumber;
    this->alive = true;
    this->work = {};
    this->workReadAt = {};
    this->renewer = std::make_unique<Renewer>(this->nodeId, this->durations);
    this->owners.clear();
    for (const GroupId &group : this->groups) {
        const OwnerIdentity identity { this->nodeId, std::to_string(this->incarnationNumber),
                                       group };
        this->owners[group] =
                std::make_unique<GroupOwner>(identity, this->durations, this->placement);
    }
    this->applyGuards();
}

void FakeNode::applyGuards()
{
    GuardsAccess::apply(this->guards, this->work);
    GuardsAccess::apply(this->guards, *this->renewer);
    for (auto &[group, owner] : this->owners) {
        GuardsAccess::apply(this->guards, *owner);
    }
}

std::map<std::string, std::uint64_t> FakeNode::followedStreams() const
{
    std::map<std::string, std::uint64_t> streams { { GroupOwner::workStream,
                                                     this->work.nextOffset() } };
    for (const auto &[group, owner] : this->owners) {
        if (owner->isWanted() || owner->phase() != GroupOwner::Phase::Idle) {
            streams[owner->groupStream()] = owner->nextGroupOffset();
        }
    }
    return streams;
}

void FakeNode::applyRead(const std::string &stream, const StreamRead &read, Instant requestedAt)
{
    this->applyGuards();
    if (stream == GroupOwner::workStream) {
        this->work.setFirstRetainedOffset(read.firstOffset);
        for (const LoggedRecord &record : read.records) {
            this->work.read(record.offset, record.payload);
        }
        this->workReadAt = std::max(this->workReadAt, requestedAt);
        return;
    }
    for (auto &[group, owner] : this->owners) {
        if (owner->groupStream() != stream) {
            continue;
        }
        owner->setGroupFirstRetainedOffset(read.firstOffset);
        for (const LoggedRecord &record : read.records) {
            owner->readGroupRecord(record.offset, record.payload);
        }
    }
}

WorkView FakeNode::view() const
{
    return { &this->work.state(), this->work.isUsable(), this->workReadAt,
             this->work.nextOffset() };
}

std::vector<Action> FakeNode::tick(Instant now, const JobRegistry &jobs)
{
    this->applyGuards();
    std::vector<Action> actions;
    for (auto &[group, owner] : this->owners) {
        for (Action &action : owner->tick(now, this->view(), jobs)) {
            actions.push_back(std::move(action));
        }
    }
    return actions;
}

std::vector<ExchangeAction> FakeNode::renew(Instant now, const std::vector<RenewalTarget> &targets)
{
    this->applyGuards();
    return this->renewer->tick(now, this->view(), targets);
}

void FakeNode::handleAnswer(const GroupId &group, const ExchangeAnswer &answer, bool forRenewer,
                            Instant now)
{
    this->applyGuards();
    if (forRenewer) {
        this->renewer->exchangeAnswered(answer, now);
    } else {
        this->owners.at(group)->exchangeAnswered(answer, now);
    }
}

void FakeNode::setOwnershipWanted(const GroupId &group, bool isWanted)
{
    this->owners.at(group)->setWanted(isWanted);
}

bool FakeNode::owns(const GroupId &group) const
{
    return this->owners.at(group)->phase() == GroupOwner::Phase::Owning;
}

} // namespace bulrush::explorer
