#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** A worker, w1, whose process restarts while the owner takes it for the former one, and another
    worker, w2, which takes what is started elsewhere. */
class RestartFixture : public DispatcherFixture
{
public:
    RestartFixture()
    {
        this->begin({});
        this->listWorker("w1");
        this->runFor(seconds(8));
    }

    /** Restarts the process of w1. The hold that it had stays without an answer. */
    void restartUnnoticed()
    {
        this->worker("w1").keepsHolds = true;
        this->runFor(milliseconds(50));
        this->workers.restart(TargetId("w1"));
        this->worker("w1").keepsHolds = true;
    }

    /** Ends the hold without an answer, so that the next one finds the new process. */
    void noticeRestart()
    {
        this->worker("w1").keepsHolds = false;
        this->workers.failKeptHolds();
        this->runFor(milliseconds(200));
    }

    /** Has w1 start the only task of the job "a". */
    void startOnFirstWorker()
    {
        const std::size_t before = this->startsOn("w1");
        this->accept(makeJob("a", 1));
        for (int tick = 0; tick < 10 && this->startsOn("w1") == before; ++tick) {
            this->runFor(tickInterval);
        }
        this->listWorker("w2");
        cr_assert_eq(this->workers.aliveRuns({ JobId("a"), 0, 0, 0 }), 1U);
    }

    /** Lets time pass while w1 answers nothing, and checks that the task never runs twice at once.
     */
    void cutOff(milliseconds span)
    {
        this->worker("w1").silent = true;
        this->watch(span);
    }

    /** Lets time pass, and checks that the task never runs twice at once. */
    void watch(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
            this->runFor(tickInterval);
            cr_assert_leq(this->workers.aliveRuns({ JobId("a"), 0, 0, 0 }), 1U,
                          "the task runs twice");
        }
    }
};

} // namespace

/* The new process cuts a lease end of the former one's clock to the longest lease, from now on. */
Test(RestartedWorker, aRunWithALeaseOfTheFormerProcesssClockIsWaitedForAfterTheRestartWasNoticed)
{
    RestartFixture fixture;
    fixture.restartUnnoticed();
    fixture.startOnFirstWorker();
    fixture.noticeRestart();
    fixture.runFor(milliseconds(1200));
    fixture.cutOff(seconds(9));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* As before, but the worker is cut off before a hold tells of its new process. */
Test(RestartedWorker, aStartWithoutAnAnswerMayHaveALeaseOfANewProcess)
{
    RestartFixture fixture;
    fixture.restartUnnoticed();
    fixture.worker("w1").losesStartAnswers = true;
    fixture.startOnFirstWorker();
    fixture.worker("w1").keepsHolds = false;
    fixture.workers.failKeptHolds();
    fixture.cutOff(seconds(11));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* As before, but the new process has answered the start. */
Test(RestartedWorker, aStartThatAnotherProcessAnsweredMayHaveALeaseOfThatProcess)
{
    RestartFixture fixture;
    fixture.restartUnnoticed();
    fixture.startOnFirstWorker();
    fixture.worker("w1").keepsHolds = false;
    fixture.workers.failKeptHolds();
    fixture.cutOff(seconds(11));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* A lease is that of a whole process, so a later command prolongs it for earlier runs. */
Test(RestartedWorker, aLaterStartProlongsTheLeaseOfOneWithoutAnAnswer)
{
    RestartFixture fixture;
    fixture.restartUnnoticed();
    fixture.worker("w1").losesStartAnswers = true;
    fixture.startOnFirstWorker();
    fixture.worker("w1").silent = true;
    fixture.worker("w1").delaysCommands = true;
    fixture.dispatcher.workerUnlisted(TargetId("w2"), RemovalCause::Unknown);
    fixture.accept(makeJob("b", 1));
    fixture.runFor(milliseconds(600));
    cr_assert_eq(fixture.startsOn("w1"), 2U);
    fixture.listWorker("w2");
    fixture.workers.failKeptHolds();
    fixture.cutOff(milliseconds(1740));
    fixture.workers.deliverDelayed();
    fixture.cutOff(seconds(10));
    cr_assert_gt(fixture.startsOn("w2"), 0U);
}

/* A renewal that was made for the former process arrives seconds later, behind a cut. */
Test(RestartedWorker, aLateRenewalOfTheFormerProcesssLeaseIsRefused)
{
    RestartFixture fixture;
    fixture.worker("w1").delaysCommands = true;
    fixture.runFor(milliseconds(50));
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(seconds(7));
    fixture.startOnFirstWorker();
    fixture.runFor(milliseconds(200));
    fixture.cutOff(seconds(3));
    fixture.worker("w1").silent = false;
    fixture.workers.deliverDelayed();
    fixture.cutOff(seconds(6));
    cr_assert_gt(fixture.startsOn("w2"), 0U);
}

/* A late acknowledgement of the former process's ends counts for the new one's that nobody read. */
Test(RestartedWorker, aLateAcknowledgementOfTheFormerProcesssEndsIsRefused)
{
    RestartFixture fixture;
    fixture.accept(makeJob("b", 1));
    fixture.runFor(milliseconds(50));
    const AttemptRef former { { JobId("b"), 0, 0, 0 }, 3001 };
    fixture.workers.endRun(TargetId("w1"), former, EndKind::Succeeded);
    fixture.runFor(milliseconds(100));
    fixture.worker("w1").delaysCommands = true;
    fixture.runFor(milliseconds(20));
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(milliseconds(200));
    fixture.startOnFirstWorker();
    fixture.worker("w1").keepsHolds = true;
    fixture.runFor(milliseconds(20));
    fixture.workers.endRun(TargetId("w1"), { { JobId("a"), 0, 0, 0 }, 3001 }, EndKind::Succeeded);
    fixture.workers.deliverDelayed();
    cr_assert_eq(fixture.worker("w1").ended.size(), 1U, "an end that nobody has read is forgotten");
    fixture.noticeRestart();
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
}

/* A worker that has seen the owner's newer token refuses its older one: no sign of a newer owner.
 */
Test(RestartedWorker, aRefusalOfAnOlderTokenOfItsOwnDoesNotEndAnOwnership)
{
    RestartFixture fixture;
    fixture.restartUnnoticed();
    fixture.worker("w1").fencingToken = CommandTokens::firstOf(3) + 1000;
    fixture.worker("w1").keepsHolds = true;
    bool first = true;
    fixture.workers.onStart = [&fixture, &first] {
        if (std::exchange(first, false)) {
            WorkerEntry entry = makeWorkerEntry("w1");
            entry.processStartedAt = 2;
            fixture.dispatcher.workerListed(entry);
        }
    };
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(50));
    cr_assert_not(fixture.ownershipLost);
}

/* The entry of the former process decided on labels and room until the list was read again. */
Test(RestartedWorker, nothingStartsByTheEntryOfAFormerProcessThatWasOfAnotherKind)
{
    DispatcherFixture fixture;
    fixture.restartedWorkersListThemselves = false;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(seconds(2));
    StepJob job = makeJob("a", 1);
    job.steps[0].requiredLabel = "a";
    fixture.accept(job);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 0U);
    WorkerEntry entry = makeWorkerEntry("w1");
    entry.processStartedAt = fixture.worker("w1").processStartedAt;
    entry.labels = { "b", "r1-1" };
    fixture.dispatcher.workerListed(entry);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 0U);
    entry.labels = { "a", "r1-1" };
    fixture.dispatcher.workerListed(entry);
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}
