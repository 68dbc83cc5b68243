#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Returns the job table that a new owner reads: one job, and a roster of the workers that may run
    its task. */
StepJobTable makeJobTable(const StepJob &job, const std::vector<TargetId> &roster,
                          const Clock &clock)
{
    StepJobTable table;
    table.applyJobRecord({ records::jobKey(job.id), records::encode(job), 1 }, clock);
    table.applyProgress({ records::rosterKey(), records::encodeRoster(roster), 1 });
    return table;
}

} // namespace

Test(Dispatcher, startsATaskAndRecordsItsEndBeforeItAcknowledgesIt)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(50));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    fixture.log.up = false;
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[0].attempt, EndKind::Succeeded);
    fixture.runFor(milliseconds(2000));
    cr_assert_eq(fixture.worker("w1").acknowledged, 0U,
                 "an end was acknowledged before it was stored");
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Running);
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.worker("w1").acknowledged, 1U);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
}

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
        table.applyJobRecord({ records::ownerKey(), records::encodeOwner(owner, "m"), 1 },
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
        table.applyJobRecord({ records::ownerKey(), records::encodeOwner(owner, "m"), 1 },
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
    cr_assert_eq(unsettled.size(), 1U);
    cr_assert_eq(unsettled.front().left.count(), (formerOrdersLifetime - seconds(2)).count());
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

Test(Dispatcher, aSilentWorkersTaskStartsElsewhereOnlyWhenItsLeaseIsOver)
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
    fixture.runFor(milliseconds(3000));
    cr_assert_eq(fixture.workers.starts.size(), 1U,
                 "the task was started again while its lease may last");
    fixture.runFor(milliseconds(2500));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
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

Test(Dispatcher, anUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere)
{
    DispatcherFixture fixture;
    fixture.worker("w1").losesStartAnswers = true;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(100));
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.worker("w1").stopped.size(), 1U);
    cr_assert(fixture.worker("w1").running.empty());
    cr_assert_eq(fixture.workers.starts.size(), 2U);
}

/* A start that was sent counted as begun, so callers were told that no job waits. */
Test(Dispatcher, aJobWhoseStartsAreNotAnsweredStillCountsAsWaiting)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").silent = true;
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_expect_eq(fixture.dispatcher.waitingJobs("checks"), 1U);
    cr_expect(fixture.dispatcher.stateOf(JobId("a")) == JobState::Queued);
    fixture.worker("w1").silent = false;
    fixture.runFor(seconds(8));
    cr_expect_eq(fixture.dispatcher.waitingJobs("checks"), 0U);
    cr_expect(fixture.dispatcher.stateOf(JobId("a")) == JobState::Running);
}

Test(Dispatcher, aRestartedWorkersTasksStartAgain)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 2));
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.workers.starts.size(), 2U);
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 4U);
    cr_assert_gt(fixture.workers.starts[2].attempt.attempt,
                 fixture.workers.starts[0].attempt.attempt);
}

/* A start reaches a restarted worker before the owner learns of the restart. The task runs there
   and must not be started elsewhere. Found by the fault soak, seed 50003. */
Test(Dispatcher, aRunThatMayHaveStartedAfterAWorkersRestartIsNotTreatedAsLost)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.workers.evaluatesHoldsOnDelivery = true;
    fixture.runFor(milliseconds(20));
    fixture.dispatcher.tick();
    fixture.workers.restart(TargetId("w1"));
    fixture.accept(makeJob("a", 1));
    fixture.clock.advance(tickInterval);
    fixture.dispatcher.tick();
    cr_assert_eq(fixture.worker("w1").running.size(), 1U, "the restarted worker must run the task");
    fixture.worker("w1").omitsRuns = true;
    fixture.workers.deliver();
    fixture.worker("w1").omitsRuns = false;
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U, "the task was started twice");
}

/* A hold is sent before a worker's restart and answered after it. The ends that it acknowledged are
   of the former process; the new one numbers its ends from 1 again. Found by the fault soak, seed
   100. */
Test(Dispatcher, anAcknowledgementSentBeforeAWorkersRestartDoesNotCountAfterIt)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 3));
    fixture.runFor(milliseconds(100));
    const std::vector<FakeWorkers::SentStart> started = fixture.workers.starts;
    for (const FakeWorkers::SentStart &each : started) {
        fixture.workers.endRun(TargetId("w1"), each.attempt, EndKind::Succeeded);
    }
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.worker("w1").acknowledged, 3U);
    fixture.workers.evaluatesHoldsOnDelivery = true;
    fixture.runFor(milliseconds(20));
    fixture.dispatcher.tick();
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").acknowledged = 0;
    fixture.accept(makeJob("b", 1));
    fixture.runFor(milliseconds(100));
    fixture.log.up = false;
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts.back().attempt,
                           EndKind::Succeeded);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.worker("w1").acknowledged, 0U,
                 "an end was acknowledged before it was stored");
}

/* The worker still answers, but its run makes no progress. */
Test(Dispatcher, aStalledRunIsStartedAgainOnAnotherWorker)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").hangs = true;
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(300));
    fixture.listWorker("w2");
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.worker("w1").stopped.size(), 1U);
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* A faulty worker fails every task that it starts. */
Test(Dispatcher, aTaskDoesNotSpendAllItsAttemptsOnOneFailingWorker)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(100));
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(200));
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[0].attempt, EndKind::Failed);
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

Test(Dispatcher, aCancelledJobIsStoppedAndNotStartedAgain)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(100));
    fixture.cancel("a");
    fixture.runFor(seconds(1));
    cr_assert(fixture.worker("w1").running.empty());
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Cancelled);
}

Test(Dispatcher, aTaskThatFailedTooOftenFailsItsJob)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
        fixture.runFor(milliseconds(200));
        cr_assert_eq(fixture.workers.starts.size(), attempt + 1);
        fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[attempt].attempt,
                               EndKind::Failed);
    }
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 2U);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Failed);
}

Test(Dispatcher, neverCommitsBeyondAWorkersCapacity)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 40));
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.workers.starts.size(), 16U, "64 processors hold 16 tasks of 4 processors");
}

Test(Dispatcher, ownershipEndsWhenAWorkerHasSeenANewerOwner)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").fencingToken = 99;
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

Test(Dispatcher, aGangStartsAsAWholeOrNotAtAll)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    StepJob gang = makeJob("a", 17);
    gang.steps[0].gang = true;
    fixture.accept(gang);
    fixture.runFor(seconds(1));
    cr_assert(fixture.workers.starts.empty());
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.workers.starts.size(), 17U);
    for (const FakeWorkers::SentStart &each : fixture.workers.starts) {
        cr_assert_eq(each.attempt.attempt, fixture.workers.starts[0].attempt.attempt);
    }
}

Test(Dispatcher, anOccurrenceDoesNotStartBeforeItIsDue)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    StepJob timed = makeJob("a", 1);
    timed.steps[0].estimate = seconds(10);
    timed.timed = true;
    timed.occurrences = 2;
    timed.firstDue = fixture.clock.calendarMillis() + 2000;
    timed.interval = milliseconds(3000);
    fixture.accept(timed);
    fixture.runFor(milliseconds(900));
    cr_assert(fixture.workers.starts.empty());
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.workers.starts.size(), 2U);
}

/* The owner's time of day steps forward by seconds and back. Jobs that are accepted in between must
   not count as older than they are, or they are ranked behind those that can still be in time, and
   those accepted after the step back as if they were new. */
Test(Dispatcher, aStepOfTheTimeOfDayDoesNotChangeTheAgeOfJobs)
{
    DispatcherFixture fixture;
    fixture.begin(StepJobTable());
    StepJob job = makeJob("before", 1);
    job.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(job);
    for (const int step : { 5, -10, 4 }) {
        const std::int64_t accepted = fixture.clock.calendarMillis();
        fixture.clock.stepCalendar(seconds(step));
        StepJob other = makeJob(("after" + std::to_string(step)).c_str(), 1);
        other.acceptedAt = accepted;
        fixture.accept(other);
        const JobEntry *entry = fixture.dispatcher.jobs().find(other.id);
        cr_assert_eq((fixture.clock.now() - entry->acceptedAt).count(), 0);
        fixture.runFor(seconds(1));
    }
    const JobEntry *first = fixture.dispatcher.jobs().find(job.id);
    cr_assert_eq(duration_cast<milliseconds>(fixture.clock.now() - first->acceptedAt).count(),
                 3000);
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
