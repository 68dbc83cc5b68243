#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/owner/FormerOwnership.h"
#include "bulrush_steps/ownership/OwnershipManager.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr std::uint64_t ownToken = 5;
constexpr std::uint64_t newerToken = 8;

/** A group that assigns the partition to the only member. */
class SingleMemberGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> callback) override
    {
        callback({ StoreOutcome::Done, ownToken, true });
    }
    void leave(const std::string & /*member*/, Duration /*timeout*/,
               std::function<void(StoreOutcome)> callback) override
    {
        callback(StoreOutcome::Done);
    }
    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        callback({ StoreOutcome::Done, "", 0, {} });
    }
};

/** A node that is the owner. */
class OwnerFixture : public OwnershipManager::Listener
{
public:
    OwnerFixture()
        : ownership(clock, group, name.text(), OwnershipTimings(), decisions, *this)
    {
        while (!this->ownership.isOwner()) {
            this->clock.advance(milliseconds(100));
            this->ownership.tick();
        }
    }
    void ownershipGained(std::uint64_t /*token*/) override { }
    void ownershipLost(std::string_view /*reason*/) override { }
    bool recordsAreCurrent() const override { return true; }
    std::uint32_t milliCoresOf(std::string_view /*member*/) const override { return 0; }
    bool mayHandOver() const override { return false; }
    void placeLeft(bool /*wasOwner*/) override { }

    bool asked(const std::string &member, std::uint64_t askerToken)
    {
        return endFormerOwnership(this->ownership, this->name, member, ownToken, askerToken);
    }

    const MemberName name { { "10.0.0.1", 7000 }, 30, "n1" };
    ManualClock clock;
    SingleMemberGroup group;
    NullDecisionLog decisions;
    OwnershipManager ownership;
};

} // namespace

Test(FormerOwnership, anOwnerEndsItsOwnershipBeforeItSaysThatItHasEnded)
{
    OwnerFixture fixture;
    cr_assert(fixture.asked(fixture.name.text(), newerToken));
    cr_assert_not(fixture.ownership.isOwner());
}

Test(FormerOwnership, anOwnerThatIsAskedByAnEarlierOneGoesOn)
{
    OwnerFixture fixture;
    cr_assert_not(fixture.asked(fixture.name.text(), ownToken - 1));
    cr_assert(fixture.ownership.isOwner());
}

/* Another machine may have been given the address of one that is cut off and runs on. */
Test(FormerOwnership, anOwnerSpeaksOnlyForEarlierProcessesOfItsNode)
{
    OwnerFixture fixture;
    cr_assert(fixture.asked("10.0.0.1:7000#3@n1", newerToken));
    cr_assert_not(fixture.asked("10.0.0.1:7000#3@n2", newerToken));
    cr_assert_not(fixture.asked("10.0.0.1:7000#3", newerToken));
    cr_assert_not(fixture.asked("", newerToken));
    cr_assert(fixture.ownership.isOwner());
}
