#include "FakeWorkers.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** A group whose answers the test sets. */
class FakeGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> callback) override
    {
        ++this->joins;
        if (this->up) {
            callback({ StoreOutcome::Done, this->generation, this->holds });
        } else {
            callback({});
        }
    }

    void leave(const std::string & /*member*/, Duration /*timeout*/,
               std::function<void()> callback) override
    {
        ++this->leaves;
        callback();
    }

    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        callback({ StoreOutcome::Done, "other", this->members });
    }

    bool up = true;
    bool holds = true;
    std::uint64_t generation = 5;
    std::uint32_t members = 0;
    int joins = 0;
    int leaves = 0;
};

class OwnershipBench : public OwnershipKeeper::Listener
{
public:
    explicit OwnershipBench(const OwnershipTimes &ownershipTimes = times())
        : keeper(clock, group, "10.0.0.1:7000#1", ownershipTimes, decisions, *this)
    {
    }

    static OwnershipTimes times()
    {
        OwnershipTimes times;
        times.timeToLive = milliseconds(1500);
        times.extension = milliseconds(6000);
        times.lease = milliseconds(4000);
        return times;
    }

    void ownershipGained(std::uint64_t token) override { this->gained.push_back(token); }
    void ownershipLost(std::string_view /*reason*/) override { ++this->losses; }

    void run(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(10)) {
            this->clock.advance(milliseconds(10));
            this->keeper.tick();
        }
    }

    PausableClock clock;
    FakeGroup group;
    NoDecisionLog decisions;
    std::vector<std::uint64_t> gained;
    int losses = 0;
    OwnershipKeeper keeper;
};

} // namespace

Test(OwnershipKeeper, joinsWhereMembersAreMissing)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    cr_assert(bench.keeper.isMember());
    cr_assert(bench.keeper.isOwner());
    cr_assert_eq(bench.gained.size(), 1U);
    cr_assert_eq(bench.gained[0], 5U);
}

/* Nodes restart in turn: a group of few members moves its partition seldom. */
Test(OwnershipKeeper, looksOnWhereMembersAreEnough)
{
    OwnershipBench bench;
    bench.group.members = 3;
    bench.run(seconds(5));
    cr_assert_eq(bench.group.joins, 0);
    bench.group.members = 2;
    bench.run(seconds(2));
    cr_assert(bench.keeper.isMember());
}

/* Machines of several sizes: the small ones leave the work of an owner to the large ones. */
Test(OwnershipKeeper, aSmallMachineLeavesTheMembershipToLargerOnes)
{
    OwnershipTimes times = OwnershipBench::times();
    times.patience = seconds(2);
    OwnershipBench bench(times);
    bench.run(seconds(1));
    bench.group.members = 3;
    bench.run(seconds(5));
    cr_assert_eq(bench.group.joins, 0);
    bench.group.members = 0;
    bench.run(seconds(4));
    cr_assert(bench.keeper.isOwner(), "nobody else came");
}

Test(OwnershipKeeper, withoutTheStoreItIsSoonNotTheOnlyOwnerAndLaterNone)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.group.up = false;
    bench.run(milliseconds(900));
    cr_assert(bench.keeper.isSoleOwner());
    bench.run(milliseconds(1000));
    cr_assert_not(bench.keeper.isSoleOwner(), "another node may be the owner by now");
    cr_assert(bench.keeper.isOwner());
    bench.run(seconds(6));
    cr_assert_not(bench.keeper.isOwner());
    cr_assert_eq(bench.losses, 1);
}

/* The machine was suspended: its clock has moved on, and nothing may be ordered. */
Test(OwnershipKeeper, aThawedOwnerOrdersNothing)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.clock.advance(seconds(20));
    cr_assert_not(bench.keeper.isOwner());
}

Test(OwnershipKeeper, anOwnerThatWasSilentForTooLongBeginsAnewWithANewToken)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.group.up = false;
    bench.run(seconds(3));
    bench.group.up = true;
    bench.group.generation = 9;
    bench.run(seconds(1));
    cr_assert_eq(bench.losses, 1);
    cr_assert_eq(bench.gained.size(), 2U);
    cr_assert_eq(bench.gained[1], 9U);
}

Test(OwnershipKeeper, aSupersededOwnerWaitsForANewGeneration)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.keeper.superseded("w1");
    bench.run(seconds(2));
    cr_assert_not(bench.keeper.isOwner());
    bench.group.generation = 6;
    bench.run(seconds(1));
    cr_assert(bench.keeper.isOwner());
    cr_assert_eq(bench.keeper.fencingToken(), 6U);
}

/* Nodes restart in turn: nobody would order while the successor reads the records. */
Test(OwnershipKeeper, aStoppingOwnerLeavesTheGroupAndOrdersOnUntilItsSuccessorDoes)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.keeper.leave();
    bench.run(seconds(1));
    cr_assert_eq(bench.group.leaves, 1);
    cr_assert(bench.keeper.isOwner());
    cr_assert_not(bench.keeper.isSoleOwner());
    bench.keeper.superseded("w1");
    cr_assert_not(bench.keeper.isOwner());
    cr_assert_eq(bench.losses, 1);
}

Test(OwnershipKeeper, aStoppingOwnerWithoutASuccessorEndsInTime)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.keeper.leave();
    bench.run(OwnershipBench::times().timeToLive + OwnershipBench::times().extension);
    cr_assert_not(bench.keeper.isOwner());
    cr_assert_eq(bench.losses, 1);
}

Test(OwnershipKeeper, anOwnerWithoutItsPartitionOrdersOnAndIsNotTheOnlyOne)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.group.holds = false;
    bench.group.generation = 6;
    bench.run(seconds(1));
    cr_assert(bench.keeper.isOwner());
    cr_assert_not(bench.keeper.isSoleOwner());
    cr_assert_eq(bench.losses, 0);
    bench.run(OwnershipBench::times().timeToLive + OwnershipBench::times().extension);
    cr_assert_not(bench.keeper.isOwner(), "answers without the partition must not prolong it");
}

/* It came back: another node may have been the owner, whose orders have a higher token. */
Test(OwnershipKeeper, aPartitionThatComesBackIsTakenWithANewToken)
{
    OwnershipBench bench;
    bench.run(seconds(2));
    bench.group.holds = false;
    bench.group.generation = 6;
    bench.run(seconds(1));
    bench.group.holds = true;
    bench.group.generation = 7;
    bench.run(seconds(1));
    cr_assert_eq(bench.losses, 1);
    cr_assert_eq(bench.gained.size(), 2U);
    cr_assert_eq(bench.gained[1], 7U);
    cr_assert(bench.keeper.isSoleOwner());
}

Test(OwnershipTimes, aNewOwnerWaitsForTheLastLeaseOfAFormerOne)
{
    const OwnershipTimes times = OwnershipBench::times();
    const milliseconds lastOrder = times.timeToLive + times.extension;
    cr_assert_gt(times.formerOrdersOver().count(), (lastOrder + times.lease).count());
}

namespace {

/** Puts jobs and their progress on a log, as former owners did. */
void fillLog(FakeLog &log, int jobs)
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

Test(RecordsView, readsAllPagesAndThenOnlyWhatIsNew)
{
    const PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    fillLog(log, 7);
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
    cr_assert_eq(view.book().entries().size(), 7U);
    cr_assert(view.book().find(JobId("job4"))->succeeded);
    cr_assert_not(view.book().find(JobId("job5"))->succeeded);
    fillLog(log, 9);
    readAll();
    cr_assert_eq(view.book().entries().size(), 9U);
    cr_assert_lt(reads, 3, "it read everything again");
}

/* The store has dropped its history meanwhile. */
Test(RecordsView, readsTheNewestRecordsAgainWhereTheHistoryIsGone)
{
    const PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    fillLog(log, 3);
    RecordsView view(clock, log, decisions);
    for (int round = 0; round < 2; ++round) {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (int reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
        fillLog(log, 5);
        log.firstKept = 8;
    }
    cr_assert_eq(view.book().entries().size(), 5U);
}

Test(RecordsView, saysThatTheStoreDoesNotAnswer)
{
    const PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    bool told = false;
    bool succeeded = true;
    view.refresh([&](bool outcome) {
        told = true;
        succeeded = outcome;
    });
    log.deliver();
    cr_assert(told);
    cr_assert_not(succeeded);
}

Test(Takeover, shutsTheFormerOwnerOutAndMarksTheJobsBeforeItReads)
{
    PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    fillLog(log, 2);
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view);
    std::optional<LogOffset> mark;
    takeover.begin(
            7, "m", [&mark](LogOffset offset) { mark = offset; }, [] {});
    cr_assert_eq(log.epoch, 7U);
    for (int round = 0; round < 50 && !mark; ++round) {
        log.deliver();
    }
    cr_assert_eq(mark.value(), 2U);
    cr_assert_eq(view.book().newestOwner(), 7U);
}

Test(Takeover, goesOnAfterAnOutage)
{
    PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view);
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

Test(Takeover, givesUpWhereANewerOwnerHasBegun)
{
    PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    log.epoch = 9;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view);
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
