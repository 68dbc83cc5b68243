#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** A member group whose answers the test sets; they are given within the call. */
class FakeGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> callback) override
    {
        ++this->joins;
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
        callback(this->leaveOutcome);
    }

    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        callback({ StoreOutcome::Done, "other", this->members });
    }

    bool up = true;
    /** Whether joins stay unanswered; the test answers the last one through heldJoin. */
    bool holdsJoins = false;
    std::function<void(Membership)> heldJoin;
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

    void ownershipGained(std::uint64_t token) override { this->gained.push_back(token); }
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
    int losses = 0;
    bool current = true;
    OwnershipManager manager;
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

namespace {

/** Appends jobs and their progress to a log, as former owners did. Every second job succeeded. */
void appendJobs(FakeLog &log, int jobs)
{
    for (int number = 0; number < jobs; ++number) {
        StepJob job;
        job.id = JobId("job" + std::to_string(number));
        job.queue = "q";
        job.steps.resize(1);
        log.streams[LogStream::Jobs].push_back(
                { records::jobKey(job.id), records::encode(job), 0 });
        JobProgress progress;
        progress.job = job.id;
        progress.succeeded = number % 2 == 0;
        log.streams[LogStream::Progress].push_back(
                { records::jobKey(job.id), records::encode(progress), 0 });
    }
}

} // namespace

Test(RecordsView, readsAllPagesAndThenOnlyNewRecords)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 7);
    RecordsView view(clock, log, decisions);
    int reads = 0;
    const auto readAll = [&] {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
    };
    readAll();
    cr_assert_eq(view.jobTable().entries().size(), 7U);
    cr_assert(view.jobTable().find(JobId("job4"))->succeeded);
    cr_assert_not(view.jobTable().find(JobId("job5"))->succeeded);
    appendJobs(log, 9);
    readAll();
    cr_assert_eq(view.jobTable().entries().size(), 9U);
    cr_assert_lt(reads, 3, "records that had been read were read again");
}

/* The store trimmed records that the view had not read yet. */
Test(RecordsView, readsTheNewestRecordsAgainAfterTheHistoryWasTrimmed)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 3);
    RecordsView view(clock, log, decisions);
    for (int round = 0; round < 2; ++round) {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (int reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
        appendJobs(log, 5);
        log.firstRetained = 8;
    }
    cr_assert_eq(view.jobTable().entries().size(), 5U);
}

/* Owner 3 has settled and removed the record of owner 2. A standby that had read it and did not see
   the removal, since the history was trimmed, waited for owner 2 again when it took over. */
Test(RecordsView, forgetsTheOwnersWhoseRecordsAreGone)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    RecordsView view(clock, log, decisions);
    const auto readAll = [&] {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (int reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
    };
    appendJobs(log, 5);
    std::vector<KeyedRecord> &jobs = log.streams[LogStream::Jobs];
    jobs.push_back({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m" }), 0 });
    jobs.push_back({ records::resignationKey(2), records::encodeResignation({ 2, {} }), 0 });
    readAll();
    cr_assert_eq(view.jobTable().owners().size(), 1U);
    jobs.push_back({ records::ownerKey(2), {}, 0 });
    jobs.push_back({ records::resignationKey(2), {}, 0 });
    jobs.push_back({ records::ownerKey(3), records::encode(OwnerRecord { 3, "n" }), 0 });
    appendJobs(log, 5);
    log.firstRetained = 10;
    readAll();
    cr_assert_eq(view.jobTable().owners().size(), 1U);
    cr_assert(view.jobTable().owners().contains(3));
    cr_assert(view.jobTable().resignations().empty());
}

Test(RecordsView, reportsFailureWhenTheStoreDoesNotAnswer)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    bool called = false;
    bool succeeded = true;
    view.refresh([&](bool outcome) {
        called = true;
        succeeded = outcome;
    });
    log.deliver();
    cr_assert(called);
    cr_assert_not(succeeded);
}

/* While no owner answers, callers' questions are answered from the records. Each of them had a
   reading of its own, and a takeover waited in their queue. */
Test(RecordsView, oneReadingServesAllCallsThatCameDuringTheLast)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 1);
    RecordsView view(clock, log, decisions);
    int served = 0;
    for (int call = 0; call < 20; ++call) {
        view.refresh([&served](bool succeeded) { served += succeeded ? 1 : 0; });
    }
    for (int round = 0; round < 6; ++round) {
        log.deliver();
    }
    cr_assert_eq(served, 20);
}

Test(Takeover, fencesTheFormerOwnerAndAppendsItsMarkBeforeItReads)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 2);
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    std::optional<LogOffset> mark;
    takeover.begin(
            7, "m", [&mark](LogOffset offset) { mark = offset; }, [] {});
    cr_assert_eq(log.epoch, 7U);
    for (int round = 0; round < 50 && !mark; ++round) {
        log.deliver();
    }
    cr_assert_eq(mark.value(), 2U);
    cr_assert_eq(view.jobTable().newestOwnerToken(), 7U);
    const std::string &record = log.newestValue(LogStream::Jobs, records::ownerKey(7));
    cr_assert_eq(records::decodeOwner(record).member, "m");
    cr_assert_eq(log.newestValue(LogStream::Jobs, records::newestOwnerKey()), record);
}

Test(Takeover, retriesUntilAnOutageIsOver)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    bool done = false;
    takeover.begin(
            7, "m", [&done](LogOffset /*offset*/) { done = true; }, [] {});
    for (int round = 0; round < 100 && !done; ++round) {
        clock.advance(milliseconds(50));
        log.deliver();
        takeover.tick();
        log.up = round > 20;
    }
    cr_assert(done);
}

/* An owner was never ready, and nothing in its log said how far it had come. */
Test(Takeover, logsEachSecondHowFarItHasCome)
{
    ManualClock clock;
    RecordedDecisions decisions;
    FakeLog log;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    takeover.begin(
            7, "m", [](LogOffset /*offset*/) {}, [] {});
    log.deliver();
    log.up = false;
    for (int round = 0; round < 20; ++round) {
        clock.advance(milliseconds(100));
        log.deliver();
        takeover.tick();
    }
    const std::vector<std::string> &lines = decisions.lines[Event::TakeoverStep];
    const auto count = [&lines](std::string_view text) {
        return std::count_if(lines.begin(), lines.end(), [text](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    };
    cr_assert_eq(count(R"("step":"fence","outcome":"done")"), 1);
    cr_assert_eq(count(R"("step":"owner record","outcome":"done")"), 1);
    cr_assert_gt(count(R"("step":"read","outcome":"failed")"), 1);
    cr_assert_eq(count(R"("step":"read","outcome":"under way")"), 2);
    takeover.cancel();
    cr_assert_eq(count(R"("outcome":"abandoned")"), 1);
}

Test(Takeover, reportsThatANewerOwnerHasBegun)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.epoch = 9;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    bool superseded = false;
    takeover.begin(
            7, "m", [](LogOffset /*offset*/) { cr_assert_fail(); },
            [&] {
                superseded = true;
                takeover.cancel();
            });
    for (int round = 0; round < 10; ++round) {
        log.deliver();
    }
    cr_assert(superseded);
}
