#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** More tasks than fit on one worker. */
constexpr std::uint32_t tasksOfTwoWorkers = 32;

Roster storedRoster(DispatcherFixture &fixture)
{
    return records::decodeRoster(
            fixture.log.newestValue(LogStream::Progress, records::rosterKey()));
}

bool names(const Roster &roster, const char *worker)
{
    return std::find(roster.workers.begin(), roster.workers.end(), TargetId(worker))
            != roster.workers.end();
}

/** The entry of an idle worker lapses. The store appends the roster without that worker, but its
    answers are lost. Then the entry is back. */
void returnWhileTheAnswerToTheRosterIsLost(DispatcherFixture &fixture)
{
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert(names(storedRoster(fixture), "w2"));
    fixture.log.losesAppendAnswers = true;
    fixture.dispatcher.workerUnlisted(TargetId("w2"), RemovalCause::Unknown);
    fixture.runFor(milliseconds(200));
    cr_assert_not(names(storedRoster(fixture), "w2"));
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_not(names(storedRoster(fixture), "w2"));
}

} // namespace

/* An earlier roster named the worker, but the newest one on record does not. */
Test(Roster, aWorkerThatReturnsGetsNoTaskBeforeTheNewestRosterNamesItAgain)
{
    DispatcherFixture fixture;
    returnWhileTheAnswerToTheRosterIsLost(fixture);
    fixture.accept(makeJob("a", tasksOfTwoWorkers));
    fixture.runFor(milliseconds(300));
    cr_assert_gt(fixture.startsOn("w1"), 0U);
    cr_assert(fixture.startsOn("w2") == 0 || names(storedRoster(fixture), "w2"),
              "%zu tasks were started on a worker that the roster on record does not name",
              fixture.startsOn("w2"));
    fixture.log.losesAppendAnswers = false;
    fixture.runFor(seconds(1));
    cr_assert(names(storedRoster(fixture), "w2"));
    cr_assert_gt(fixture.startsOn("w2"), 0U);
}

/* The same, and then the owner changes while that worker does not answer: its tasks run on. */
Test(Roster, aNewOwnerStartsNoTaskThatRunsOnAWorkerThatHadReturned)
{
    DispatcherFixture former;
    returnWhileTheAnswerToTheRosterIsLost(former);
    const StepJob job = makeJob("a", tasksOfTwoWorkers);
    former.accept(job);
    former.runFor(milliseconds(300));

    DispatcherFixture next;
    next.workers.workers = former.workers.workers;
    next.worker("w2").silent = true;
    StepJobTable table = makeJobTable(job, storedRoster(former).workers, next.clock, 3);
    table.applyJobRecord({ records::ownerKey(3), records::encode(OwnerRecord { 3, "m#1" }), 1 },
                         next.clock);
    next.begin(std::move(table), 4);
    next.listWorker("w1");
    next.listWorker("w2");
    next.listWorker("w3");
    next.runFor(seconds(1));
    std::size_t twice = 0;
    for (const FakeWorkers::SentStart &start : next.workers.starts) {
        const std::map<AttemptRef, ListedRun> &cutOff = next.worker("w2").running;
        twice += static_cast<std::size_t>(
                std::count_if(cutOff.begin(), cutOff.end(), [&start](const auto &run) {
                    return run.first.task == start.attempt.task;
                }));
    }
    cr_assert_eq(twice, 0U, "%zu tasks run twice", twice);
}

/* A worker was used as soon as a roster that named it was sent, though it was never stored. */
Test(Roster, aWorkerGetsNoTaskWhileTheRosterThatNamesItIsOnlySent)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(200));
    fixture.accept(makeJob("a", tasksOfTwoWorkers));
    fixture.runFor(milliseconds(500));
    cr_assert_gt(fixture.startsOn("w1"), 0U);
    cr_assert_eq(fixture.startsOn("w2"), 0U);
    fixture.log.up = true;
    fixture.runFor(seconds(1));
    cr_assert_gt(fixture.startsOn("w2"), 0U);
}

/* Another writer left an entry at whose address no worker answers. Each new owner would wait for it
   before it starts the tasks of known jobs. */
Test(Roster, aWorkerThatNeverAnsweredIsNotOnTheRoster)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert(names(storedRoster(fixture), "w1"));
    cr_assert_not(names(storedRoster(fixture), "w2"));
    fixture.worker("w2").silent = false;
    fixture.runFor(seconds(1));
    cr_assert(names(storedRoster(fixture), "w2"));
    fixture.accept(makeJob("a", tasksOfTwoWorkers));
    fixture.runFor(seconds(1));
    cr_assert_gt(fixture.startsOn("w2"), 0U);
}

/* A successor would wait for a worker that this owner knows to have ended. */
Test(Roster, aWorkerOfAFormerOwnerThatHasEndedIsNotNamedWhileOthersAreAwaited)
{
    DispatcherFixture fixture;
    fixture.worker("w3").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1"), TargetId("w2"), TargetId("w3") },
                               fixture.clock));
    fixture.listWorker("w2");
    fixture.listWorker("w3");
    fixture.runFor(milliseconds(300));
    cr_assert(names(storedRoster(fixture), "w1"));
    fixture.processes.list = WorkerProcesses { { TargetId("w2"), TargetId("w3") }, 1 };
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.decisions.lines[Event::WorkerEnded].size(), 1U);
    cr_assert_not(names(storedRoster(fixture), "w1"));
    cr_assert(names(storedRoster(fixture), "w2"));
    cr_assert(names(storedRoster(fixture), "w3"));
}
