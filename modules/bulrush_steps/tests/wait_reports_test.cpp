#include "FullService.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Returns the number in a field of a line; none when the line has no such field. */
std::optional<std::int64_t> numberIn(const std::string &line, const std::string &field)
{
    const std::string name = "\"" + field + "\":";
    const std::size_t at = line.find(name);
    return at == std::string::npos ? std::nullopt
                                   : std::optional(std::stoll(line.substr(at + name.size())));
}

/** Returns how many lines contain a text. */
std::size_t linesWith(const std::vector<std::string> &lines, std::string_view text)
{
    return static_cast<std::size_t>(
            std::count_if(lines.begin(), lines.end(), [text](const std::string &line) {
                return line.find(text) != std::string::npos;
            }));
}

/** Begins with one worker on which a job holds nearly all processors. */
void beginWithHeldProcessors(DispatcherFixture &fixture, StepJob holder)
{
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    holder.steps[0].size.cpuMilli = 60000;
    holder.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(holder);
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/** Returns a job of one task that holds nearly all processors of a worker for 20 s. */
StepJob makeHolderThatEnds()
{
    StepJob holder = makeJob("holder", 1);
    holder.steps[0].estimate = seconds(20);
    return holder;
}

/** Has a long-running task wait for the room of another job.
    @returns what is known of the wait after 3 s */
std::optional<LongestWait> waitForHeldProcessors(DispatcherFixture &fixture)
{
    StepJob watch = makeLongRunningJob("watch", 1, 60000);
    watch.steps[0].size.memoryMb = 2000;
    watch.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(watch);
    fixture.runFor(seconds(3));
    return fixture.dispatcher.load().plan.waits.longest();
}

} // namespace

/* Logs and metrics told that steps waited, but not why. */
Test(WaitCensus, namesTheReasonOfEachWaitAndTheLongest)
{
    DispatcherFixture fixture;
    beginWithSensitiveServingTasks(fixture, 2);
    StepJob filling = makeFillingJob("batch", 2, fixture.clock);
    filling.slackFactor = 1000.0;
    fixture.accept(filling);
    fixture.runFor(milliseconds(500));
    StepJob large = makeJob("large", 1);
    large.steps[0].size.cpuMilli = 60000;
    large.slackFactor = 1000.0;
    large.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(large);
    StepJob impossible = makeJob("impossible", 1);
    impossible.steps[0].requiredLabel = "none";
    impossible.slackFactor = 1000.0;
    impossible.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(impossible);
    fixture.runFor(milliseconds(2500));
    const WaitCensus waits = fixture.dispatcher.load().plan.waits;
    cr_expect_eq(waits.count(WaitReason::Risk), 1U);
    cr_expect_eq(waits.count(WaitReason::NoRoom), 1U);
    cr_expect_eq(waits.count(WaitReason::NoWorker), 1U);
    cr_assert(waits.longest());
    cr_expect(waits.longest()->job == JobId("batch"));
    cr_expect(waits.longest()->reason == WaitReason::Risk);
}

/* The longest wait of all was told, so that of a filling step hid those of long-running tasks. */
Test(WaitCensus, tellsTheLongestWaitOfEachKindOfSteps)
{
    DispatcherFixture fixture;
    beginWithSensitiveServingTasks(fixture, 2);
    fixture.accept(makeFillingJob("batch", 2, fixture.clock));
    fixture.runFor(milliseconds(500));
    StepJob watch = makeLongRunningJob("watch", 1, 60000);
    watch.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(watch);
    fixture.runFor(seconds(3));
    const PlanLoad load = fixture.dispatcher.load().plan;
    cr_assert(load.reservingWaits.longest() && load.fillingWaits.longest());
    cr_expect(load.reservingWaits.longest()->job == JobId("watch"));
    cr_expect(load.fillingWaits.longest()->job == JobId("batch"));
    cr_expect(load.reservingWaits.longest()->starving);
    cr_expect_eq(load.reservingWaits.longest()->obstacles.of(WorkerObstacle::NoRoom).workers, 2U);
}

/* The best obstacle of all workers was told: not what kept a step off those that serve nothing. */
Test(WaitCensus, tellsWhatKeepsTheLongestWaitOffEachWorker)
{
    DispatcherFixture fixture;
    beginWithSensitiveServingTasks(fixture, 2);
    fixture.listWorker("full");
    fixture.runFor(milliseconds(100));
    StepJob other = makeFillingJob("other", 1, fixture.clock);
    other.steps[0].size.memoryMb = 220000;
    other.steps[0].estimate = seconds(60);
    fixture.accept(other);
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.startsOn("full"), 1U);
    StepJob filling = makeFillingJob("batch", 2, fixture.clock);
    filling.steps[0].size.memoryMb = 6000;
    filling.slackFactor = 1000.0;
    fixture.accept(filling);
    fixture.runFor(milliseconds(2500));
    const std::optional<LongestWait> longest =
            fixture.dispatcher.load().plan.fillingWaits.longest();
    cr_assert(longest);
    cr_expect(longest->job == JobId("batch"));
    cr_expect(longest->reason == WaitReason::Risk);
    cr_expect_not(longest->jobRuns);
    cr_expect_not(longest->starving);
    cr_expect_eq(longest->obstacles.of(WorkerObstacle::Risk).workers, 2U);
    cr_expect_eq(longest->obstacles.of(WorkerObstacle::Risk).withoutServing, 0U);
    cr_expect_eq(longest->obstacles.of(WorkerObstacle::FillMemory).workers, 1U);
    cr_expect_eq(longest->obstacles.of(WorkerObstacle::FillMemory).withoutServing, 1U);
}

/* Whether a run that holds the room would end, and what the task needed, was not logged. */
Test(WaitCensus, tellsWhenRoomIsExpectedForTheLongestWait)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeHolderThatEnds());
    const std::optional<LongestWait> longest = waitForHeldProcessors(fixture);
    cr_assert(longest);
    cr_expect(longest->job == JobId("watch"));
    cr_expect_eq(longest->size.cpuMilli, 60000);
    cr_expect_eq(longest->size.memoryMb, 2000);
    cr_assert(longest->roomExpectedIn);
    cr_expect(*longest->roomExpectedIn > seconds(15));
    cr_expect(*longest->roomExpectedIn < seconds(20));
}

/* Room that no run gives back looked like room that was about to come. */
Test(WaitCensus, tellsThatNoRoomIsExpectedWhereALongRunningTaskHoldsIt)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeLongRunningJob("holder", 1, 60000));
    const std::optional<LongestWait> longest = waitForHeldProcessors(fixture);
    cr_assert(longest);
    cr_expect(longest->job == JobId("watch"));
    cr_expect_not(longest->roomExpectedIn);
}

/* Only sums over all runs told who holds the processors. */
Test(OwnerLoad, tellsLongRunningRunsFromThoseThatEnd)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeLongRunningJob("holder", 1, 60000));
    fixture.accept(makeJob("short", 1));
    fixture.runFor(milliseconds(100));
    DispatchLoad load = fixture.dispatcher.load();
    cr_expect_eq(load.longRunningCpuMilli, 60000);
    cr_expect_eq(load.endingCpuMilli, 4000);
    cr_expect_eq(load.leavingWorkers, 0U);
    WorkerEntry draining = makeWorkerEntry("w1");
    draining.draining = true;
    fixture.dispatcher.workerListed(draining);
    load = fixture.dispatcher.load();
    cr_expect_eq(load.longRunningCpuMilli, 0);
    cr_expect_eq(load.endingCpuMilli, 0);
    cr_expect_eq(load.leavingWorkers, 1U);
}

/* Starts that wait for the record of their assignment were not counted anywhere. */
Test(OwnerLoad, countsStartsThatWaitForTheRecordOfTheirAssignment)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    fixture.accept(makeLongRunningJob("watch", 2, 4000));
    fixture.clock.advance(tickInterval);
    fixture.dispatcher.tick();
    cr_expect_eq(fixture.dispatcher.load().unsentStarts, 2U);
    fixture.runFor(milliseconds(100));
    cr_expect_eq(fixture.dispatcher.load().unsentStarts, 0U);
}

/* A reservation that was used looked like one that lapsed: both were no longer there. */
Test(Reservations, thoseThatAreUsedAreCountedAndLogged)
{
    FullService service(3);
    service.submit(makeLongRunningJob("watch", 2, 40000));
    service.runFor(maxWaitOfALongRunningTask);
    const PlanLoad load = service.fixture.dispatcher.load().plan;
    cr_expect_gt(load.reservations.used, 0U);
    cr_expect_eq(load.reservations.made,
                 load.reservations.used + load.reservations.lapsed + load.reservations.dropped
                         + load.reservedWorkers);
    cr_expect_eq(
            linesWith(service.fixture.decisions.lines[Event::TaskStarted], "\"reserved\":true"),
            load.reservations.used);
}

/* How often room was reserved in vain was not known. */
Test(Reservations, thoseWhoseTimeIsOverAreCounted)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeHolderThatEnds());
    waitForHeldProcessors(fixture);
    cr_expect_eq(fixture.dispatcher.load().plan.reservations.lapsed, 0U);
    fixture.runFor(seconds(2));
    const ReservationCounts counts = fixture.dispatcher.load().plan.reservations;
    cr_expect_eq(counts.lapsed, 1U);
    cr_expect_eq(counts.made, 2U);
    cr_expect_eq(counts.used, 0U);
    cr_expect_eq(counts.dropped, 0U);
}

/* Room that was given up for a worker that drains or a cancelled job is not room that came too
   late. */
Test(Reservations, thoseThatAreGivenUpAreCountedApartFromThoseThatLapse)
{
    FullService service(2);
    service.submit(makeLongRunningJob("watch", 2, 64000));
    service.runFor(milliseconds(1700));
    service.fixture.cancel("watch");
    service.runFor(milliseconds(200));
    const ReservationCounts counts = service.fixture.dispatcher.load().plan.reservations;
    cr_expect_eq(counts.made, 1U);
    cr_expect_eq(counts.dropped, 1U);
    cr_expect_eq(counts.lapsed, 0U);
}

/* How long a task was without a run could only be pieced together from the lines of both runs. */
Test(RestartWaits, areLoggedWithTheStartAndReportedOnceTheWorkerConfirmsIt)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeLongRunningJob("watch", 1, 60000));
    cr_assert_eq(fixture.restartWaits.size(), 1U);
    WorkerEntry draining = makeWorkerEntry("w1");
    draining.draining = true;
    fixture.dispatcher.workerListed(draining);
    fixture.runFor(milliseconds(200));
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts.front().attempt,
                           EndKind::Succeeded);
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 2U);
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::TaskStarted];
    const std::optional<std::int64_t> waited = numberIn(lines.back(), "waited_ms");
    cr_assert(waited);
    cr_expect_geq(*waited, 1500);
    cr_expect_leq(*waited, 4000);
    cr_assert_eq(fixture.restartWaits.size(), 2U);
    cr_expect(fixture.restartWaits.back() >= milliseconds(*waited));
    cr_expect(fixture.restartWaits.back() <= seconds(4));
}

/* The first run of a task that ends may wait for other steps, which is no wait for room. */
Test(RestartWaits, areNotLoggedForTheFirstRunOfATaskThatEnds)
{
    DispatcherFixture fixture;
    beginWithHeldProcessors(fixture, makeJob("a", 1));
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::TaskStarted];
    cr_assert_eq(lines.size(), 1U);
    cr_expect_not(numberIn(lines.back(), "waited_ms"));
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts.front().attempt, EndKind::Failed);
    fixture.runFor(seconds(1));
    cr_assert_eq(lines.size(), 2U);
    cr_expect(numberIn(lines.back(), "waited_ms"));
    cr_expect(fixture.restartWaits.empty());
}
