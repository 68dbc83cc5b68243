#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Lists a worker that has room for a number of the tasks that makeJob() describes. */
void listWorkerWithRoom(DispatcherFixture &fixture, const char *name, std::int64_t tasks)
{
    WorkerEntry entry = makeWorkerEntry(name);
    const ResourceVector size = makeJob("size", 1).steps[0].size;
    entry.capacity = { size.cpuMilli * tasks, size.memoryMb * tasks, 0 };
    fixture.dispatcher.workerListed(entry);
}

} // namespace

Test(WorkerCapacity, aWorkerWhoseRoomShrankGetsNoTaskBeyondIt)
{
    DispatcherFixture fixture;
    fixture.begin({});
    listWorkerWithRoom(fixture, "w1", 8);
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 4));
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.startsOn("w1"), 4U);
    listWorkerWithRoom(fixture, "w1", 3);
    fixture.accept(makeJob("b", 4));
    fixture.runFor(seconds(1));
    cr_expect_eq(fixture.startsOn("w1"), 4U);
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[0].attempt, EndKind::Succeeded);
    fixture.runFor(milliseconds(500));
    cr_expect_eq(fixture.startsOn("w1"), 4U, "a task was started beyond the room that shrank");
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts[1].attempt, EndKind::Succeeded);
    fixture.runFor(milliseconds(500));
    cr_expect_eq(fixture.startsOn("w1"), 5U);
}

Test(WorkerCapacity, aWorkerWhoseRoomGrewGetsTasksAgain)
{
    DispatcherFixture fixture;
    fixture.begin({});
    listWorkerWithRoom(fixture, "w1", 1);
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 4));
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
    listWorkerWithRoom(fixture, "w1", 3);
    fixture.runFor(milliseconds(500));
    cr_expect_eq(fixture.startsOn("w1"), 3U);
}

Test(WorkerCapacity, aTaskThatIsBeingStoppedTakesUpRoomUntilItsEndIsListed)
{
    DispatcherFixture fixture;
    fixture.begin({});
    listWorkerWithRoom(fixture, "w1", 1);
    fixture.runFor(milliseconds(100));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(500));
    fixture.worker("w1").silent = true;
    fixture.cancel("a");
    fixture.accept(makeJob("b", 1));
    fixture.runFor(seconds(1));
    cr_expect_eq(fixture.startsOn("w1"), 1U);
    fixture.worker("w1").silent = false;
    fixture.runFor(milliseconds(600));
    cr_expect_eq(fixture.startsOn("w1"), 2U);
    cr_expect_eq(fixture.worker("w1").running.size(), 1U);
}

Test(WorkerCapacity, aNewOwnerStartsNothingOnAWorkerThatHasNotReportedWhatItRuns)
{
    DispatcherFixture fixture;
    const AttemptRef former { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[former] = { former, "", 0, 0.0 };
    fixture.worker("w1").silent = true;
    fixture.begin(makeJobTable(makeJob("a", 1), { TargetId("w1") }, fixture.clock));
    listWorkerWithRoom(fixture, "w1", 1);
    fixture.accept(makeJob("b", 1));
    fixture.runFor(seconds(1));
    cr_expect(fixture.workers.starts.empty());
    fixture.worker("w1").silent = false;
    fixture.runFor(seconds(1));
    cr_expect(fixture.workers.starts.empty(), "a task was started beside one of a former owner");
}
