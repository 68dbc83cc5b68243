#include "OwnershipFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

Test(OwnershipManager, joinsWhenMembersAreMissing)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
    cr_assert(fixture.manager.isOwner());
    cr_assert_eq(fixture.gained.size(), 1U);
    cr_assert_eq(fixture.gained[0], 5U);
}

/* Only a few nodes are members, so that the partition rarely moves when all nodes restart one after
   the other. */
Test(OwnershipManager, doesNotJoinWhileThereAreEnoughMembers)
{
    OwnershipFixture fixture;
    fixture.group.members = 3;
    fixture.runFor(seconds(5));
    cr_assert_eq(fixture.group.joins, 0);
    fixture.group.members = 2;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
}

/* Machines differ in size. A small one waits before it joins, so that larger ones, which make
   better owners, join first. */
Test(OwnershipManager, aSmallMachineLeavesTheMembershipToLargerOnes)
{
    OwnershipTimings times = OwnershipFixture::times();
    times.joinDelay = seconds(2);
    OwnershipFixture fixture(times);
    fixture.runFor(seconds(1));
    fixture.group.members = 3;
    fixture.runFor(seconds(5));
    cr_assert_eq(fixture.group.joins, 0);
    fixture.group.members = 0;
    fixture.runFor(seconds(4));
    cr_assert(fixture.manager.isOwner(), "no other node joined, so this one must");
}

Test(OwnershipManager, anOwnerWithoutTheStoreLosesSoleOwnershipFirstAndOwnershipLater)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.up = false;
    fixture.runFor(milliseconds(900));
    cr_assert(fixture.manager.isSoleOwner());
    fixture.runFor(milliseconds(1000));
    cr_assert_not(fixture.manager.isSoleOwner(), "another node may be the owner by now");
    cr_assert(fixture.manager.isOwner());
    fixture.runFor(seconds(6));
    cr_assert_not(fixture.manager.isOwner());
    cr_assert_eq(fixture.losses, 1);
}

/* The machine was suspended and its clock has moved on: no orders may be sent, even before the next
   tick. */
Test(OwnershipManager, ownershipExpiresWhileTheMachineIsSuspended)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.clock.advance(seconds(20));
    cr_assert_not(fixture.manager.isOwner());
}

Test(OwnershipManager, anOwnerUnconfirmedForTooLongReturnsWithANewToken)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.up = false;
    fixture.runFor(seconds(3));
    fixture.group.up = true;
    fixture.group.generation = 9;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.losses, 1);
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert_eq(fixture.gained[1], 9U);
}

Test(OwnershipManager, aSupersededOwnerWaitsForANewGeneration)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.manager.superseded("w1");
    fixture.runFor(seconds(2));
    cr_assert_not(fixture.manager.isOwner());
    fixture.group.generation = 6;
    fixture.runFor(seconds(1));
    cr_assert(fixture.manager.isOwner());
    cr_assert_eq(fixture.manager.fencingToken(), 6U);
}

/* The node was cut off from the store, and a late answer of the store confirms its ownership again
   after it has said that it ended. */
Test(OwnershipManager, anOwnerThatSaidItHasEndedIsNotOwnerAgainWithThatToken)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    cr_assert_not(fixture.manager.yieldTo(4, 5), "an earlier owner must not end a later one");
    cr_assert_not(fixture.manager.yieldTo(900, 900));
    cr_assert(fixture.manager.isOwner());
    cr_assert(fixture.manager.yieldTo(8, 5));
    cr_assert_eq(fixture.losses, 1);
    fixture.group.generation = 7;
    fixture.runFor(seconds(2));
    cr_assert_not(fixture.manager.isOwner());
    fixture.group.generation = 9;
    fixture.runFor(seconds(1));
    cr_assert(fixture.manager.isOwner());
}

/* Nodes restart one after the other. If the old owner ended at once, no node would send orders
   while its successor reads the records. */
Test(OwnershipManager, aStoppingOwnerLeavesTheGroupAndRemainsOwnerUntilItIsSuperseded)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.manager.leave();
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.group.leaves, 1);
    cr_assert(fixture.manager.isOwner());
    cr_assert_not(fixture.manager.isSoleOwner());
    fixture.manager.superseded("w1");
    cr_assert_not(fixture.manager.isOwner());
    cr_assert_eq(fixture.losses, 1);
}

Test(OwnershipManager, theOwnershipOfAStoppingOwnerWithoutASuccessorExpires)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.manager.leave();
    fixture.runFor(OwnershipFixture::times().timeToLive + OwnershipFixture::times().outageGrace);
    cr_assert_not(fixture.manager.isOwner());
    cr_assert_eq(fixture.losses, 1);
}

Test(OwnershipManager, anOwnerWithoutItsPartitionRemainsOwnerButNotSoleOwner)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.holdsPartition = false;
    fixture.group.generation = 6;
    fixture.runFor(seconds(1));
    cr_assert(fixture.manager.isOwner());
    cr_assert_not(fixture.manager.isSoleOwner());
    cr_assert_eq(fixture.losses, 0);
    fixture.runFor(OwnershipFixture::times().timeToLive + OwnershipFixture::times().outageGrace);
    cr_assert_not(fixture.manager.isOwner(),
                  "answers without the partition must not extend the ownership");
}

/* Another node may have been the owner in between and have sent orders with a higher token. */
Test(OwnershipManager, aRegainedPartitionIsOwnedWithANewToken)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.holdsPartition = false;
    fixture.group.generation = 6;
    fixture.runFor(seconds(1));
    fixture.group.holdsPartition = true;
    fixture.group.generation = 7;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.losses, 1);
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert_eq(fixture.gained[1], 7U);
    cr_assert(fixture.manager.isSoleOwner());
}

/* All nodes restart one after the other, and members are missing. A node that has read nothing yet
   got the partition, and nobody ordered the workers while it read the records. */
Test(OwnershipManager, aNodeDoesNotJoinBeforeItHasReadTheRecords)
{
    OwnershipFixture fixture;
    fixture.current = false;
    fixture.runFor(seconds(4));
    cr_assert_eq(fixture.group.joins, 0);
    cr_assert(fixture.manager.isCandidate());
    fixture.current = true;
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.manager.isOwner());
    cr_assert_not(fixture.manager.isCandidate());
}

Test(OwnershipManager, aCandidateIsNoneAnyMoreOnceThereAreEnoughMembers)
{
    OwnershipFixture fixture;
    fixture.current = false;
    fixture.runFor(seconds(4));
    fixture.group.members = 3;
    fixture.runFor(seconds(1));
    cr_assert_not(fixture.manager.isCandidate());
    fixture.current = true;
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.group.joins, 0);
}

/* A member behind a narrow link falls behind. As the next owner it would order nobody for seconds.
 */
Test(OwnershipManager, aMemberThatCannotKeepUpWithTheRecordsLeaves)
{
    OwnershipFixture fixture;
    fixture.group.holdsPartition = false;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
    fixture.current = false;
    fixture.group.members = 2;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
    fixture.runFor(seconds(2));
    cr_assert_not(fixture.manager.isMember());
    cr_assert_eq(fixture.group.leaves, 1);
}

/* The store is away for a while. If the members left, nobody could take over once it is back. */
Test(OwnershipManager, aMemberWithoutTheStoreStays)
{
    OwnershipFixture fixture;
    fixture.group.holdsPartition = false;
    fixture.runFor(seconds(2));
    fixture.group.up = false;
    fixture.current = false;
    fixture.runFor(seconds(8));
    cr_assert(fixture.manager.isMember());
    fixture.group.up = true;
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isMember());
}

/* The answer to the leave is lost: the group kept the stopping node, and with it the partition, for
   a whole time to live. */
Test(OwnershipManager, aStoppingNodeLeavesUntilTheStoreConfirmsIt)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.leaveOutcome = StoreOutcome::Unknown;
    fixture.manager.leave();
    fixture.runFor(seconds(1));
    cr_assert_gt(fixture.group.leaves, 1);
    fixture.group.leaveOutcome = StoreOutcome::Done;
    fixture.runFor(seconds(1));
    const int leaves = fixture.group.leaves;
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.group.leaves, leaves);
}

/* The store carries out a join after the leave that was sent later, on another connection. */
Test(OwnershipManager, aStoppingNodeLeavesAgainAfterAJoinThatWasUnderWay)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.holdsJoins = true;
    fixture.runFor(seconds(1));
    fixture.manager.leave();
    cr_assert_eq(fixture.group.leaves, 1);
    fixture.group.heldJoin({ StoreOutcome::Done, 6, true });
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.group.leaves, 2);
}

Test(OwnershipTimings, aNewOwnerWaitsForTheLastLeaseOfAFormerOne)
{
    const OwnershipTimings times = OwnershipFixture::times();
    const milliseconds lastOrder = times.timeToLive + times.outageGrace;
    cr_assert_gt(times.previousOwnerSettleTime().count(), (lastOrder + times.lease).count());
}
