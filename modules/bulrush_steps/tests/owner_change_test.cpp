#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;

Test(Dispatcher, aWorkerGetsNoTaskBeforeTheRosterThatNamesItIsStored)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.log.up = false;
    fixture.listWorker("w1");
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(1000));
    cr_assert(fixture.workers.starts.empty());
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/* The store answers slowly, so the roster that a new owner took over is stored before the list of
   workers is read. Found by the fault soak, seed 1003: the owner started no tasks. */
Test(Dispatcher, aWorkerListedAfterTheRosterThatNamesItIsStoredGetsTasks)
{
    DispatcherFixture fixture;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    fixture.runFor(seconds(1));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}

/* All nodes lost power just after a start, and one worker does not answer yet. The task may be
   running there, so it must not be started elsewhere. */
Test(Dispatcher, aKnownJobWaitsForTheSilentWorkersOfAFormerOwner)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert(fixture.workers.starts.empty(), "a task was started that may run elsewhere");
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}

namespace {

/** Begins as owner 3 after owner 2, with a worker that does not answer, and applies a resignation.
    @returns the number of starts sent by the time at which a resigned owner's leases are over */
std::size_t startsAfterResignation(const Resignation &resignation)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    for (const std::uint64_t owner : { 2U, 3U }) {
        table.applyJobRecord(
                { records::ownerKey(owner), records::encode(OwnerRecord { owner, "m" }), 1 },
                fixture.clock);
    }
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    fixture.dispatcher.applyJobRecord(
            { records::newestResignationKey(), records::encodeResignation(resignation), 5 });
    fixture.runFor(OwnershipTerm().resignedOwnerSettleTime - seconds(1));
    cr_assert(fixture.workers.starts.empty(),
              "a task was started while a lease of the former owner may last");
    fixture.runFor(milliseconds(1200));
    return fixture.workers.starts.size();
}

} // namespace

/* A worker is lost while the owner changes. If the former owner resigned, the worker's tasks must
   wait only until the last leases that this owner granted have ended, not for the longer time for
   which an owner that did not resign could have gone on sending orders. Found by the users' test
   bench: a lasting task did not run for 14 s. */
Test(Dispatcher, afterAResignationANewOwnerWaitsOnlyForTheLastLeases)
{
    cr_assert_eq(startsAfterResignation({ 2, {} }), 1U);
    cr_assert_eq(startsAfterResignation({ 2, { { 1, seconds(3) } } }), 1U);
}

Test(Dispatcher, aResignationCountsOnlyFromThePreviousOwnerAndWithItsUnsettledTime)
{
    cr_assert_eq(startsAfterResignation({ 2, { { 1, seconds(9) } } }), 0U);
    cr_assert_eq(startsAfterResignation({ 1, {} }), 0U);
}

/* Owner 1 is cut off, owner 2 takes over and resigns while it still waits for owner 1. When the cut
   ends, owner 1 learns of its successors and resigns too. Known jobs must then wait for the last
   leases only; they waited for owner 1 as if it were still silent. Found by the users' test bench:
   a job with free workers did not run for more than 15 s. */
Test(Dispatcher, aResignationCountsFromEveryOwnerThatIsWaitedFor)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    for (const std::uint64_t owner : { 1U, 2U, 3U }) {
        table.applyJobRecord(
                { records::ownerKey(owner), records::encode(OwnerRecord { owner, "m" }), 1 },
                fixture.clock);
    }
    const milliseconds left = formerOrdersLifetime - seconds(1);
    table.applyJobRecord(
            { records::resignationKey(2), records::encodeResignation({ 2, { { 1, left } } }), 2 },
            fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    fixture.dispatcher.applyJobRecord(
            { records::resignationKey(1), records::encodeResignation({ 1, {} }), 5 });
    fixture.runFor(OwnershipTerm().resignedOwnerSettleTime - milliseconds(100));
    cr_assert(fixture.workers.starts.empty(),
              "a task was started while a lease of a former owner may last");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/* The former owner's process was killed, so it wrote no resignation; its next process says so. */
Test(Dispatcher, afterTheEndOfAFormerOwnersProcessOnlyItsLastLeasesAreWaitedFor)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    table.applyJobRecord({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m#1" }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.dispatcher.formerOwnersToAsk().size(), 1U);
    fixture.dispatcher.formerOwnerStopped(2);
    cr_assert(fixture.dispatcher.formerOwnersToAsk().empty());
    fixture.runFor(OwnershipTerm().resignedOwnerSettleTime - milliseconds(100));
    cr_assert(fixture.workers.starts.empty(),
              "a task was started while a lease of the former owner may last");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert_eq(fixture.obsoleteRecords.size(), 1U);
    cr_assert_eq(fixture.obsoleteRecords.front().key, records::ownerKey(2));
}

/* The new owner is killed while it waits: its successor must wait for the same workers and owners.
 */
Test(Dispatcher, theRosterOfAWaitingOwnerNamesWhatItWaitsFor)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    table.applyJobRecord({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m#1" }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    const Roster roster = records::decodeRoster(
            fixture.log.newestValue(LogStream::Progress, records::rosterKey()));
    cr_assert(roster.workers == std::vector<TargetId>({ TargetId("w1"), TargetId("w2") }));
    cr_assert_eq(roster.fencingToken, 3U);
    cr_assert_eq(roster.formerOwners.size(), 1U);
    cr_assert_eq(roster.formerOwners.front().member, "m#1");
}

/* The record of an owner that was never ready goes while its successor waits for it. */
Test(Dispatcher, aFormerOwnerThatRemovesItsRecordIsNotWaitedFor)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    table.applyJobRecord({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m#1" }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert(fixture.workers.starts.empty());
    fixture.dispatcher.applyJobRecord({ records::ownerKey(2), {}, 5 });
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}

/* Logs and metrics did not tell whether a task waits for its own worker or for all of them. */
Test(Dispatcher, tasksThatWaitForTheirOwnWorkerAreCountedApart)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 2), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    StepJob lasting = makeJob("b", 1);
    lasting.steps[0].runsIndefinitely = true;
    table.applyJobRecord({ records::jobKey(lasting.id), records::encode(lasting), 2 },
                         fixture.clock);
    JobProgress progress;
    progress.job = lasting.id;
    progress.tasks.emplace_back().assignedTo = TargetId("w2");
    table.applyProgress({ records::jobKey(lasting.id), records::encode(progress), 2 });
    table.applyJobRecord(
            { records::ownerKey(2), records::encode(OwnerRecord { 2, "m#1", true }), 3 },
            fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(1100));
    cr_assert_eq(fixture.held.forOwnWorker, 1U);
    cr_assert_eq(fixture.held.forAllWorkers, 2U);
    const std::string &line = fixture.decisions.lines[Event::FormerOwnersAwaited].back();
    cr_assert_neq(line.find(R"("own_worker_states":"unlisted:1 silent:0 unasked:0")"),
                  std::string::npos, "%s", line.c_str());
    cr_assert_neq(line.find(R"("own_workers":"w2")"), std::string::npos, "%s", line.c_str());
    cr_assert_neq(line.find(R"("vm_list_age_ms":-1)"), std::string::npos, "%s", line.c_str());
    fixture.worker("w2").silent = false;
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.held.all(), 0U);
}

/* A new owner behind a narrow link read the list of workers after the records, and meanwhile leases
   lapsed that it could have renewed. */
Test(Dispatcher, workersThatWereListedDuringTheTakeoverAreAskedAtOnce)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.worker("w1").fencingToken, 0U, "an order was sent before the takeover");
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    fixture.runFor(milliseconds(100));
    cr_assert_eq(CommandTokens::ownerOf(fixture.worker("w1").fencingToken), 3U);
    cr_assert_gt(fixture.worker("w1").leaseEnd, 0);
}

/* An owner that loses the partition before its roster is on record counts as one that renewed
   leases only while nobody else could be the owner. */
Test(Dispatcher, beforeItsRosterIsStoredAnOwnerRenewsLeasesOnlyAsTheSoleOwner)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.log.up = false;
    fixture.soleOwner = false;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert(fixture.dispatcher.runs().workers().at(TargetId("w1")).adopted);
    cr_assert_eq(fixture.worker("w1").leaseEnd, 0);
    fixture.soleOwner = true;
    fixture.runFor(milliseconds(500));
    cr_assert_gt(fixture.worker("w1").leaseEnd, 0);
    fixture.soleOwner = false;
    fixture.log.up = true;
    fixture.runFor(seconds(2));
    const WorkerMillis leaseEnd = fixture.worker("w1").leaseEnd;
    fixture.runFor(seconds(3));
    cr_assert_gt(fixture.worker("w1").leaseEnd, leaseEnd);
}

/* The owner's own records were appended late, after a newer owner had read the stream. */
Test(Dispatcher, anOwnerThatReadANewerOwnersRecordDoesNotBegin)
{
    DispatcherFixture fixture;
    StepJobTable table = makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock);
    table.applyJobRecord({ records::ownerKey(6), records::encode(OwnerRecord { 6, "m#1" }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    cr_assert(fixture.ownershipLost);
    cr_assert_not(fixture.dispatcher.active());
}

/* Owners restart one after the other. Each resignation must state how long orders of even earlier
   owners may still have an effect, so that the successor waits for the rest of that time. */
Test(Dispatcher, aResignationHoldsTheRemainingUnsettledTime)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.runFor(seconds(2));
    const std::vector<UnsettledOwner> unsettled = fixture.dispatcher.resignation()->unsettled;
    const std::vector<UnsettledOwner> expected { { 0, formerOrdersLifetime - seconds(2) } };
    cr_assert(unsettled == expected);
    fixture.runFor(formerOrdersLifetime);
    cr_assert(fixture.dispatcher.resignation()->unsettled.empty());
}

/* The caller repeats its submission, and the repeat becomes the job's newest record. The job must
   still count as one that a former owner may have started. */
Test(Dispatcher, aRepeatedSubmissionDoesNotReleaseAJobKnownToAFormerOwner)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.accept(makeJob("a", 1));
    fixture.runFor(seconds(3));
    cr_assert(fixture.workers.starts.empty(), "a task was started that may run elsewhere");
}

Test(Dispatcher, aJobUnknownToFormerOwnersStartsAtOnce)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(200));
    fixture.accept(makeJob("b", 1));
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.workers.starts[0].attempt.task.job == JobId("b"));
}

Test(Dispatcher, aNewOwnerAdoptsRunningTasksAndDoesNotStartThemAgain)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.runFor(seconds(3));
    cr_assert(fixture.workers.starts.empty());
    fixture.workers.endRun(TargetId("w1"), running, EndKind::Succeeded);
    fixture.runFor(seconds(1));
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
}

/* The owner is cut off from the store: another node may be the owner by now and renew the lease. */
Test(Dispatcher, aLeaseIsNotOverWhileAnotherOwnerMayRenewIt)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(100));
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(200));
    fixture.worker("w1").silent = true;
    fixture.soleOwner = false;
    fixture.runFor(seconds(6));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    fixture.soleOwner = true;
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* A new owner is cut off from the store, and from a worker that has not answered it yet. The next
   owner, which it does not know of, hears from that worker and renews its leases. By the time at
   which the former owner's leases would be over, the tasks there still run, and the owner that is
   cut off must not start them on the workers that it reaches. Found by the users' test bench: 28
   tasks of known jobs ran twice, 4.4 s after a zone with a new owner was cut off. */
Test(Dispatcher, afterTheWaitKnownTasksDoNotStartWhileANewerOwnerMayRenewTheirLeases)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w2").running[running] = { running, "", 30, 0.0 };
    fixture.worker("w2").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    fixture.soleOwner = false;
    fixture.runFor(formerOrdersLifetime);
    cr_assert(fixture.workers.starts.empty(),
              "a task was started that may run under leases of a newer owner");
    cr_assert(fixture.obsoleteRecords.empty());
    fixture.soleOwner = true;
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}

/* The same, but the worker answers before the store does. */
Test(Dispatcher, aWaitWithoutSoleOwnershipEndsWhenAllWorkersHaveAnswered)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w2").running[running] = { running, "", 30, 0.0 };
    fixture.worker("w2").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 2), { TargetId("w1"), TargetId("w2") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.soleOwner = false;
    fixture.runFor(formerOrdersLifetime + seconds(1));
    cr_assert(fixture.workers.starts.empty());
    fixture.worker("w2").silent = false;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert_eq(fixture.workers.starts.front().attempt.task.index, 1U);
}

/* A worker answers a new owner for the first time. Before that owner grants it a lease, its entry
   tells of a restart, so that it must confirm itself again, and it does not answer any more. The
   lease that the former owner granted lasts on; the task that runs under it was started elsewhere
   without waiting for its end. */
Test(Dispatcher, aTaskThatANewOwnerFoundWaitsForTheLeaseOfTheFormerOwner)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    while (!fixture.dispatcher.runs().workers().at(TargetId("w1")).adopted) {
        fixture.runFor(tickInterval);
    }
    fixture.worker("w1").silent = true;
    WorkerEntry entry = makeWorkerEntry("w1");
    entry.processStartedAt = 1;
    fixture.dispatcher.workerListed(entry);
    fixture.runFor(seconds(6));
    cr_assert_eq(fixture.startsOn("w2"), 0U, "started while the former owner's lease may last");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

Test(Dispatcher, ownershipEndsWhenAWorkerHasSeenANewerOwner)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").fencingToken = CommandTokens::firstOf(99);
    fixture.runFor(seconds(2));
    cr_assert(fixture.ownershipLost);
    cr_assert_not(fixture.dispatcher.active());
}

Test(Dispatcher, anOwnerWhoseOwnershipHasExpiredStartsNothing)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.owner = false;
    fixture.accept(makeJob("a", 1));
    fixture.runFor(seconds(1));
    cr_assert(fixture.workers.starts.empty());
}

/* The process is paused in the middle of a round of planning, until its ownership has expired. The
   tasks of the round that are left must not start: another owner may have started them. */
Test(Dispatcher, anOwnerPausedWhileItPlansStartsNothingMore)
{
    DispatcherFixture fixture;
    fixture.begin(StepJobTable());
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    fixture.workers.onStart = [&fixture] { fixture.owner = false; };
    fixture.accept(makeJob("a", 4));
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/* Which owner and which kind of worker hold how many tasks: without it, a long wait is not
 * explained.
 */
Test(Dispatcher, aWaitingOwnerLogsWhatItWaitsForAndHowManyTasksItHolds)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table = makeJobTable(
            makeJob("a", 3), { TargetId("w1"), TargetId("w2"), TargetId("w3") }, fixture.clock);
    table.applyJobRecord({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m#1" }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(1500));
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::FormerOwnersAwaited];
    cr_assert_eq(lines.size(), 2U);
    cr_assert(lines.back().find(R"("worker_states":"unlisted:1 silent:1 unasked:0")")
              != std::string::npos);
    cr_assert(lines.back().find(R"("owner_states":"2:silent")") != std::string::npos);
    cr_assert(lines.back().find(R"("held_tasks":3)") != std::string::npos);
}
