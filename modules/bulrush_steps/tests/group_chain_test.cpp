#include "OwnershipFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr milliseconds tickInterval { 50 };
constexpr std::uint32_t largeMachine = 500;
constexpr std::uint32_t smallMachine = 120;

/** A group of several members, which gives a free partition to the member whose name comes first.
 */
class SharedGroup : public MemberGroup
{
public:
    explicit SharedGroup(const Clock &systemClock)
        : clock(systemClock)
    {
    }

    void join(const std::string &member, std::uint64_t /*generation*/, milliseconds timeToLive,
              Duration /*timeout*/, std::function<void(Membership)> callback) override
    {
        this->update();
        this->generation += this->expiries.contains(member) ? 0 : 1;
        this->expiries[member] = this->clock.now() + timeToLive;
        this->update();
        callback({ StoreOutcome::Done, this->generation, this->holder == member });
    }

    void leave(const std::string &member, Duration /*timeout*/,
               std::function<void(StoreOutcome)> callback) override
    {
        this->generation += this->expiries.erase(member);
        this->update();
        callback(StoreOutcome::Done);
    }

    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        this->update();
        std::vector<std::string> names;
        for (const auto &[member, expiry] : this->expiries) {
            names.push_back(member);
        }
        callback({ StoreOutcome::Done, this->holder,
                   static_cast<std::uint32_t>(this->expiries.size()), std::move(names) });
    }

private:
    void update()
    {
        this->generation += std::erase_if(this->expiries, [this](const auto &member) {
            return member.second <= this->clock.now();
        });
        if (!this->expiries.contains(this->holder)) {
            this->holder = this->expiries.empty() ? "" : this->expiries.begin()->first;
        }
    }

    const Clock &clock;
    std::map<std::string, Instant> expiries;
    std::string holder;
    std::uint64_t generation = 1;
};

/** A node whose size is told by the first letter of its name; small ones come first. */
class ChainNode : public OwnershipManager::Listener
{
public:
    ChainNode(const Clock &clock, MemberGroup &group, const std::string &name)
        : manager(clock, group, name, timesOf(name), decisions, *this)
    {
    }

    void ownershipGained(std::uint64_t /*token*/) override { }
    void ownershipLost(std::string_view /*reason*/) override { }
    bool recordsAreCurrent() const override { return true; }
    std::uint32_t milliCoresOf(std::string_view member) const override { return sizeOf(member); }
    bool mayHandOver() const override { return true; }
    void placeLeft(bool /*wasOwner*/) override { }

    static std::uint32_t sizeOf(std::string_view member)
    {
        return member.starts_with("l") ? largeMachine : smallMachine;
    }

    NullDecisionLog decisions;
    OwnershipManager manager;

private:
    static OwnershipTimings timesOf(const std::string &name)
    {
        OwnershipTimings times = OwnershipFixture::times();
        times.joinDelay = milliseconds(250'000 / sizeOf(name));
        return times;
    }
};

class Chain
{
public:
    void start(const std::string &node)
    {
        this->nodes[node] = std::make_unique<ChainNode>(
                this->clock, this->group, node + "#" + std::to_string(this->nextProcess++));
    }

    /** Stops a node as planned, and starts it again a second later. */
    void restart(const std::string &node)
    {
        this->nodes.at(node)->manager.leave();
        this->runFor(seconds(1));
        this->nodes.erase(node);
        this->start(node);
        this->runFor(seconds(1));
    }

    void runFor(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
            this->clock.advance(tickInterval);
            for (const auto &[name, node] : this->nodes) {
                node->manager.tick();
            }
        }
    }

    /** Returns the names of the nodes that are sure to be the only owner. */
    std::vector<std::string> soleOwners() const
    {
        std::vector<std::string> owners;
        for (const auto &[name, node] : this->nodes) {
            if (node->manager.isSoleOwner()) {
                owners.push_back(name);
            }
        }
        return owners;
    }

private:
    ManualClock clock;
    SharedGroup group { clock };
    std::map<std::string, std::unique_ptr<ChainNode>> nodes;
    int nextProcess = 0;
};

} // namespace

/* Small nodes fill the group while all nodes restart one after the other, and the partition always
   goes to a small member if there is one: a small node owned until the end of the day. */
Test(GroupChain, aChainOfRestartsEndsWithALargeOwner)
{
    Chain chain;
    const std::vector<std::string> nodes { "s1", "s2", "s3", "s4", "l1", "l2", "l3" };
    for (const char *small : { "s1", "s2", "s3", "s4" }) {
        chain.start(small);
    }
    chain.runFor(seconds(6));
    cr_assert_eq(chain.soleOwners().size(), 1U);
    for (const char *large : { "l1", "l2", "l3" }) {
        chain.start(large);
    }
    for (const std::string &node : nodes) {
        chain.restart(node);
    }
    chain.runFor(seconds(30));
    const std::vector<std::string> owners = chain.soleOwners();
    cr_assert_eq(owners.size(), 1U);
    cr_assert_eq(owners.front().front(), 'l', "%s", owners.front().c_str());
    for (int second = 0; second < 30; ++second) {
        chain.runFor(seconds(1));
        cr_assert_eq(chain.soleOwners(), owners, "the ownership moves without need");
    }
}

/* One large node comes and stays among small ones. The partition always goes to a small member, and
   the small ones must not pass it on among each other for ever. */
Test(GroupChain, aSingleLargeNodeBecomesTheOwner)
{
    Chain chain;
    for (const char *small : { "s1", "s2", "s3", "s4" }) {
        chain.start(small);
    }
    chain.runFor(seconds(6));
    chain.start("l1");
    chain.runFor(seconds(60));
    const std::vector<std::string> owners = chain.soleOwners();
    cr_assert_eq(owners.size(), 1U);
    cr_assert_eq(owners.front(), "l1");
}
