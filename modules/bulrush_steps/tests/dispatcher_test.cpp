#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;

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

namespace {

/** Lets time pass while the store carries out appends but its answers are under way. */
void runWithoutStoreAnswers(DispatcherFixture &fixture, milliseconds span)
{
    for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
        fixture.clock.advance(tickInterval);
        fixture.dispatcher.tick();
        fixture.workers.deliver();
    }
}

/** Plays an append that is under way while the last task of a job ends, and its answer.
    @returns the state shown after the answer, which the next append does not reach */
std::optional<JobState> stateAfterAnEndDuringAnAppend(DispatcherFixture &fixture, EndKind lastEnd)
{
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    StepJob job = makeJob("a", 2);
    job.maxAttempts = 1;
    fixture.accept(job);
    fixture.runFor(milliseconds(100));
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[0].attempt, EndKind::Succeeded);
    runWithoutStoreAnswers(fixture, milliseconds(100));
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[1].attempt, lastEnd);
    runWithoutStoreAnswers(fixture, milliseconds(500));
    fixture.log.up = false;
    fixture.runFor(milliseconds(300));
    return fixture.dispatcher.stateOf(JobId("a"));
}

} // namespace

/* A job was shown as succeeded or failed although its last end was in no stored record, and the
   next owner started that task again. */
Test(Dispatcher, anEndThatFollowsTheAppendInProgressIsNotShownBeforeItIsStored)
{
    for (const EndKind lastEnd : { EndKind::Succeeded, EndKind::Failed }) {
        DispatcherFixture fixture;
        cr_expect(stateAfterAnEndDuringAnAppend(fixture, lastEnd) == JobState::Running);
        fixture.log.up = true;
        fixture.runFor(milliseconds(500));
        const JobState ended =
                lastEnd == EndKind::Succeeded ? JobState::Succeeded : JobState::Failed;
        cr_expect(fixture.dispatcher.stateOf(JobId("a")) == ended);
    }
}

Test(Dispatcher, aSilentWorkersTaskStartsElsewhereOnlyWhenItsLeaseIsOver)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    // Commands of a former owner could give the worker the longest lease when it first answered.
    fixture.runFor(seconds(7));
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
