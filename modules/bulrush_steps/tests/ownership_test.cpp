#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <set>
#include <utility>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::string_view testRecord = "r";

/** A member group whose answers the test sets; they are given within the call. */
class FakeGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> callback) override
    {
        ++this->joins;
        if (this->countsChanges && this->up && !this->present) {
            this->present = true;
            ++this->generation;
        }
        if (this->holdsJoins) {
            this->heldJoin = std::move(callback);
        } else if (this->up) {
            callback({ StoreOutcome::Done, this->generation, this->holdsPartition });
        } else {
            callback({});
        }
    }

    void leave(const std::string & /*member*/, Duration /*timeout*/,
               std::function<void(StoreOutcome)> callback) override
    {
        ++this->leaves;
        if (this->countsChanges && this->up && this->present && !this->losesLeaves) {
            this->present = false;
            ++this->generation;
        }
        if (this->holdsLeaves) {
            this->heldLeave = std::move(callback);
        } else {
            callback(this->leaveOutcome);
        }
    }

    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        callback({ StoreOutcome::Done, "other", this->members });
    }

    bool up = true;
    /** Whether joins stay unanswered; the test answers the last one through heldJoin. */
    bool holdsJoins = false;
    std::function<void(Membership)> heldJoin;
    /** Whether each change of the member makes a higher generation, as the store does. */
    bool countsChanges = false;
    bool present = false;
    /** Whether leaves are not carried out. */
    bool losesLeaves = false;
    /** Whether leaves stay unanswered; the test answers the last one through heldLeave. */
    bool holdsLeaves = false;
    std::function<void(StoreOutcome)> heldLeave;
    StoreOutcome leaveOutcome = StoreOutcome::Done;
    bool holdsPartition = true;
    std::uint64_t generation = 5;
    std::uint32_t members = 0;
    int joins = 0;
    int leaves = 0;
};

class OwnershipFixture : public OwnershipManager::Listener
{
public:
    explicit OwnershipFixture(const OwnershipTimings &ownershipTimes = times())
        : manager(clock, group, "10.0.0.1:7000#1", ownershipTimes, decisions, *this)
    {
    }

    static OwnershipTimings times()
    {
        OwnershipTimings times;
        times.timeToLive = milliseconds(1500);
        times.outageGrace = milliseconds(6000);
        times.lease = milliseconds(4000);
        return times;
    }

    void ownershipGained(std::uint64_t token) override
    {
        this->gained.push_back(token);
        if (this->whenGained) {
            this->whenGained(token);
        }
    }
    void ownershipLost(std::string_view /*reason*/) override { ++this->losses; }
    bool recordsAreCurrent() const override { return this->current; }

    void runFor(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(10)) {
            this->clock.advance(milliseconds(10));
            this->manager.tick();
        }
    }

    ManualClock clock;
    FakeGroup group;
    NullDecisionLog decisions;
    std::vector<std::uint64_t> gained;
    std::function<void(std::uint64_t)> whenGained;
    int losses = 0;
    bool current = true;
    OwnershipManager manager;
};

/** Has the node gain the ownership and lose it in an outage, and ends the outage. */
void loseByExpiry(OwnershipFixture &fixture)
{
    fixture.runFor(seconds(2));
    cr_assert(fixture.manager.isOwner());
    fixture.group.up = false;
    fixture.runFor(seconds(8));
    cr_assert_not(fixture.manager.isOwner());
    fixture.group.up = true;
}

/** A log that takes an append with a sequence number of its epoch for a repeat, as the store does.
 */
class RepeatingLog : public FakeLog
{
public:
    void append(LogStream stream, const std::vector<KeyedRecord> &records,
                const std::optional<WriterMark> &mark, Duration timeout,
                std::function<void(AppendAnswer)> callback) override
    {
        const bool numbered = mark && !records.empty();
        const bool repeats = numbered && !this->numbers.emplace(mark->epoch, mark->sequence).second;
        FakeLog::append(stream, repeats ? std::vector<KeyedRecord>() : records, mark, timeout,
                        std::move(callback));
    }

private:
    /** The epochs and sequence numbers of the appends. */
    std::set<std::pair<std::uint64_t, std::uint64_t>> numbers;
};

/** Writes one record in each term, whose value is the number of the term. */
class TermWriter : public ProgressWriter::Listener
{
public:
    TermWriter(const Clock &clock, KeyedLog &log)
        : writer(clock, log, *this)
    {
    }

    void begin(std::uint64_t token)
    {
        ++this->terms;
        this->writer.begin(token);
        this->writer.markChanged({ JobId(std::string(testRecord)), 0 }, true);
    }
    ProgressRecord progressRecord(const ProgressPart & /*part*/) override
    {
        return { std::to_string(this->terms), false };
    }
    void recordTooLong(const ProgressPart & /*part*/, std::size_t /*bytes*/) override { }
    std::string rosterRecord() override { return {}; }
    void stored(const std::vector<WrittenProgress> & /*parts*/, bool /*withRoster*/) override
    {
        this->storedTerm = this->terms;
    }
    void writerFenced() override { }

    int terms = 0;
    /** The term whose record counts as stored. */
    int storedTerm = 0;
    ProgressWriter writer;
};

} // namespace

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

/* An order of the former term that is carried out late is refused only for a lower token. */
Test(OwnershipManager, anOwnershipThatExpiredIsNotGainedAgainWithItsToken)
{
    OwnershipFixture fixture;
    fixture.group.countsChanges = true;
    loseByExpiry(fixture);
    fixture.runFor(milliseconds(600));
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert_gt(fixture.gained.back(), fixture.gained.front());
    cr_assert_eq(fixture.group.leaves, 1);
    fixture.runFor(seconds(5));
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert(fixture.manager.isSoleOwner());
}

/* The store took the appends of the new term for repeats: what counted as stored was lost. */
Test(OwnershipManager, theFirstAppendOfATermIsNotTakenForARepeatOfTheFormerTerms)
{
    OwnershipFixture fixture;
    RepeatingLog log;
    TermWriter writer(fixture.clock, log);
    fixture.whenGained = [&writer](std::uint64_t token) { writer.begin(token); };
    const auto write = [&fixture, &log, &writer] {
        fixture.runFor(seconds(1));
        writer.writer.tick();
        log.deliver();
    };
    fixture.group.countsChanges = true;
    write();
    cr_assert_eq(writer.storedTerm, 1);
    loseByExpiry(fixture);
    write();
    cr_assert_eq(writer.storedTerm, 2);
    const ProgressPart part { JobId(std::string(testRecord)), 0 };
    cr_assert_eq(log.newestValue(LogStream::Progress, records::progressKey(part)), "2");
}

/* The store goes on to assign the partition at the generation of a term that has ended. */
Test(OwnershipManager, aGenerationThatDoesNotChangeIsNotUsedAgainAndTheStoreIsAskedAtABoundedRate)
{
    OwnershipFixture fixture;
    loseByExpiry(fixture);
    const int joins = fixture.group.joins;
    fixture.runFor(seconds(10));
    cr_assert_eq(fixture.gained.size(), 1U);
    cr_assert_not(fixture.manager.isOwner());
    cr_assert_gt(fixture.group.leaves, 1);
    cr_assert_leq(fixture.group.leaves, 21);
    cr_assert_leq(fixture.group.joins - joins, 42);
    fixture.group.generation = 6;
    fixture.runFor(seconds(1));
    cr_assert(fixture.manager.isOwner());
    cr_assert_eq(fixture.manager.fencingToken(), 6U);
}

/* The leave is lost, and with it the new generation: nobody would order until another change. */
Test(OwnershipManager, aLeaveForANewTermThatIsLostIsSentAgain)
{
    OwnershipFixture fixture;
    fixture.group.countsChanges = true;
    fixture.group.losesLeaves = true;
    fixture.group.leaveOutcome = StoreOutcome::Unknown;
    loseByExpiry(fixture);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.gained.size(), 1U);
    fixture.group.losesLeaves = false;
    fixture.group.leaveOutcome = StoreOutcome::Done;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert_gt(fixture.gained.back(), fixture.gained.front());
}

/* A leave without an answer is carried out late, and another node is the owner for a moment. */
Test(OwnershipManager, anOwnerIsNotTheOnlyOneWhileItsLeaveMayBeCarriedOut)
{
    OwnershipFixture fixture;
    fixture.group.countsChanges = true;
    fixture.group.leaveOutcome = StoreOutcome::Unknown;
    loseByExpiry(fixture);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.gained.size(), 2U);
    cr_assert(fixture.manager.isOwner());
    cr_assert_not(fixture.manager.isSoleOwner());
    fixture.runFor(seconds(10));
    fixture.group.generation += 2;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.gained.size(), 3U);
    cr_assert_eq(fixture.gained.back(), fixture.group.generation);
    fixture.runFor(seconds(10));
    cr_assert(fixture.manager.isSoleOwner());
    cr_assert_eq(fixture.gained.size(), 3U);
}

/* A node that stops while it leaves for a new term would be a member again after its end. */
Test(OwnershipManager, aStoppingNodeDoesNotJoinForANewTerm)
{
    OwnershipFixture fixture;
    fixture.group.countsChanges = true;
    fixture.group.holdsLeaves = true;
    loseByExpiry(fixture);
    fixture.runFor(milliseconds(600));
    cr_assert_eq(fixture.group.leaves, 1);
    const std::function<void(StoreOutcome)> leaveForTerm = std::move(fixture.group.heldLeave);
    fixture.group.holdsLeaves = false;
    const int joins = fixture.group.joins;
    fixture.manager.leave();
    leaveForTerm(StoreOutcome::Done);
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.group.joins, joins);
    cr_assert_eq(fixture.group.leaves, 2);
    cr_assert_not(fixture.manager.isOwner());
}

/* Its leave would take the partition from nobody, but be one more change for the new owner. */
Test(OwnershipManager, aSupersededOwnerDoesNotLeaveForAnAnswerFromBefore)
{
    OwnershipFixture fixture;
    fixture.runFor(seconds(2));
    fixture.group.holdsJoins = true;
    fixture.runFor(seconds(1));
    fixture.manager.superseded("w1");
    fixture.group.holdsJoins = false;
    fixture.group.holdsPartition = false;
    fixture.group.generation = 6;
    fixture.group.heldJoin({ StoreOutcome::Done, 5, true });
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.group.leaves, 0);
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
