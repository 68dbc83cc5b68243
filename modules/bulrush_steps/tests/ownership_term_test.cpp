#include "OwnershipFixture.h"

#include <criterion/criterion.h>

#include <set>
#include <utility>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::string_view testRecord = "r";

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
