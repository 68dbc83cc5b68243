#include "OwnershipFixture.h"

#include "bulrush_steps/ownership/GroupSizes.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::uint32_t smallMachine = 120;
constexpr std::uint32_t largeMachine = 500;
const std::string ownMember = "10.0.0.1:7000#1";

/** Sets the processor time of the node, which was the only one to join, and of the others. */
void setSizes(OwnershipFixture &fixture, std::uint32_t ownSize, std::uint32_t otherSize)
{
    fixture.sizes = { { ownMember, ownSize }, { "b", otherSize }, { "c", otherSize } };
}

/** Has the node gain the ownership of a group without others. */
void gainOwnership(OwnershipFixture &fixture)
{
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isOwner());
    fixture.group.holder = ownMember;
}

/** Has two others join the group. */
void othersJoin(OwnershipFixture &fixture)
{
    fixture.group.names = { ownMember, "b", "c" };
    fixture.group.members = 3;
    ++fixture.group.generation;
}

/** Has the node become a member that stands by. */
void standBy(OwnershipFixture &fixture)
{
    fixture.group.holdsPartition = false;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
}

} // namespace

/* Small nodes were the only members after a slow store, and kept the ownership for good while
   larger ones stood by: tasks at the end of the order were never planned. */
Test(GroupSizes, aSmallOwnerHandsOverToALargerMemberWithinSeconds)
{
    OwnershipFixture fixture;
    setSizes(fixture, smallMachine, largeMachine);
    gainOwnership(fixture);
    othersJoin(fixture);
    fixture.runFor(seconds(7));
    cr_assert_eq(fixture.ownersLeft, 1);
    cr_assert_eq(fixture.group.leaves, 1);
    cr_assert_not(fixture.manager.isMember());
    cr_assert(fixture.manager.isOwner(), "it sends commands until its successor does");
    cr_assert_not(fixture.manager.isSoleOwner());
}

/* A small node owns the group alone, or beside equals and members of earlier versions. */
Test(GroupSizes, aSmallOwnerWithoutALargerMemberStays)
{
    for (const std::uint32_t otherSize : { 0U, smallMachine, smallMachine * 2 - 1 }) {
        OwnershipFixture fixture;
        setSizes(fixture, smallMachine, otherSize);
        gainOwnership(fixture);
        othersJoin(fixture);
        fixture.runFor(seconds(20));
        cr_assert_eq(fixture.group.leaves, 0, "beside members with %u", otherSize);
        cr_assert(fixture.manager.isSoleOwner());
    }
}

/* A takeover that is followed by another one before its wait is over leaves known tasks without a
   run for the sum of both. */
Test(GroupSizes, aSmallOwnerThatWaitsForFormerOwnersHandsOverAfterwards)
{
    OwnershipFixture fixture;
    setSizes(fixture, smallMachine, largeMachine);
    fixture.calm = false;
    gainOwnership(fixture);
    othersJoin(fixture);
    const int searches = fixture.group.searches;
    fixture.runFor(seconds(20));
    cr_assert_eq(fixture.group.leaves, 0);
    cr_assert_eq(fixture.group.searches, searches, "the wait must cost no calls");
    fixture.calm = true;
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.ownersLeft, 1);
}

/* The group changes each second, as when all nodes restart: each change may be a change of owner,
   and a further one would come on top. */
Test(GroupSizes, aSmallOwnerDoesNotHandOverWhileTheGroupChanges)
{
    OwnershipFixture fixture;
    setSizes(fixture, smallMachine, largeMachine);
    gainOwnership(fixture);
    for (int change = 0; change < 20; ++change) {
        othersJoin(fixture);
        fixture.runFor(seconds(1));
    }
    cr_assert_eq(fixture.group.leaves, 0);
    fixture.runFor(seconds(4));
    cr_assert_eq(fixture.ownersLeft, 1);
}

/* The partition goes from one small member to the next, which hands over at once in its turn. */
Test(GroupSizes, anOwnershipIsNotHandedOverJustAfterItWasGained)
{
    OwnershipFixture fixture;
    setSizes(fixture, smallMachine, largeMachine);
    standBy(fixture);
    othersJoin(fixture);
    fixture.group.holder = "b";
    fixture.runFor(seconds(5));
    fixture.group.holdsPartition = true;
    fixture.group.holder = ownMember;
    ++fixture.group.generation;
    fixture.runFor(milliseconds(4800));
    cr_assert(fixture.manager.isSoleOwner());
    cr_assert_eq(fixture.group.leaves, 0);
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.ownersLeft, 1);
}

/* The larger members fail right after the hand-over, and no node would be left to own. */
Test(GroupSizes, aNodeThatHandedOverOwnsAgainIfNobodyElseIsThere)
{
    OwnershipFixture fixture;
    fixture.group.countsChanges = true;
    setSizes(fixture, smallMachine, largeMachine);
    gainOwnership(fixture);
    othersJoin(fixture);
    fixture.runFor(seconds(7));
    cr_assert_eq(fixture.ownersLeft, 1);
    const std::uint64_t formerToken = fixture.manager.fencingToken();
    fixture.group.members = 0;
    fixture.group.names = {};
    fixture.runFor(seconds(8));
    cr_assert(fixture.manager.isSoleOwner());
    cr_assert_gt(fixture.manager.fencingToken(), formerToken);
    cr_assert_eq(fixture.group.leaves, 1);
}

/* All members were small when the larger nodes came back, which found the group full. */
Test(GroupSizes, aLargerNodeJoinsAGroupThatIsFullOfSmallerMembers)
{
    OwnershipFixture fixture;
    fixture.group.members = 3;
    fixture.group.names = { "b", "c", "d" };
    fixture.runFor(seconds(5));
    cr_assert_eq(fixture.group.joins, 0, "nothing is known of the members");
    setSizes(fixture, largeMachine, smallMachine);
    fixture.runFor(seconds(3));
    cr_assert(fixture.manager.isMember());
}

/* All large nodes would join, and each change of the group may move the partition. */
Test(GroupSizes, aLargerNodeDoesNotJoinOnceThereAreEnoughLargerMembers)
{
    OwnershipFixture fixture;
    setSizes(fixture, largeMachine, smallMachine);
    fixture.sizes["d"] = fixture.sizes["e"] = fixture.sizes["f"] = largeMachine;
    fixture.group.members = 5;
    fixture.group.names = { "b", "c", "d", "e", "f" };
    fixture.runFor(seconds(5));
    cr_assert_eq(fixture.group.joins, 0);
}

/* Members beyond three cost joins and readings of the records for nothing. */
Test(GroupSizes, onlyTheSmallestOfTooManyMembersLeave)
{
    for (const bool isSmallest : { true, false }) {
        OwnershipFixture fixture;
        setSizes(fixture, smallMachine, largeMachine);
        fixture.sizes["d"] = isSmallest ? smallMachine + 1 : smallMachine - 1;
        standBy(fixture);
        othersJoin(fixture);
        fixture.group.names.emplace_back("d");
        fixture.group.members = 4;
        fixture.runFor(seconds(4));
        cr_assert_eq(fixture.membersLeft, isSmallest ? 1 : 0);
        cr_assert_eq(fixture.ownersLeft, 0);
        cr_assert_eq(fixture.manager.isMember(), !isSmallest);
    }
}

Test(GroupSizes, aSmallMemberOfAFullGroupStays)
{
    OwnershipFixture fixture;
    setSizes(fixture, smallMachine, largeMachine);
    standBy(fixture);
    othersJoin(fixture);
    fixture.runFor(seconds(10));
    cr_assert_eq(fixture.group.leaves, 0);
}
