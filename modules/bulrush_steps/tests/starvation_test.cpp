#include "DispatcherFixture.h"

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

/** A long-running task has a run again at the latest this long after its last one. */
constexpr seconds maxWaitOfALongRunningTask { 6 };

/** The processors of a short task on a full service. */
constexpr std::int64_t shortTaskCpu = 4000;

StepJob makeLongRunningJob(const char *id, std::uint32_t tasks, std::int64_t cpuMilli)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].runsIndefinitely = true;
    job.steps[0].size.cpuMilli = cpuMilli;
    return job;
}

/** Workers that short tasks fill: each part that comes free is wanted by another one at once. */
class FullService
{
public:
    explicit FullService(std::uint32_t workers)
    {
        this->fixture.begin({});
        for (std::uint32_t number = 1; number <= workers; ++number) {
            this->fixture.listWorker(("w" + std::to_string(number)).c_str());
        }
        this->fixture.runFor(milliseconds(100));
        this->runFor(seconds(2));
    }

    void submit(StepJob job)
    {
        job.acceptedAt = this->fixture.clock.calendarMillis();
        this->fixture.accept(job);
    }

    /** Lets time pass in which short tasks end one by one and more are submitted. */
    void runFor(milliseconds span)
    {
        const Instant end = this->fixture.clock.now() + span;
        while (this->fixture.clock.now() < end) {
            this->supplyShortTasks();
            this->fixture.runFor(tickInterval);
            this->endShortTasks();
        }
    }

    /** Returns the number of started tasks of a job. */
    std::size_t startsOf(const char *job) const
    {
        std::set<TaskRef> tasks;
        for (const FakeWorkers::SentStart &start : this->fixture.workers.starts) {
            if (start.attempt.task.job == JobId(job)) {
                tasks.insert(start.attempt.task);
            }
        }
        return tasks.size();
    }

    /** Returns the workers with reserved room. */
    std::vector<TargetId> reservedWorkers() const
    {
        std::vector<TargetId> reserved;
        for (const auto &[id, worker] : this->fixture.dispatcher.runs().workers()) {
            if (worker.reservation) {
                reserved.push_back(id);
            }
        }
        return reserved;
    }

    DispatcherFixture fixture;

private:
    void supplyShortTasks()
    {
        constexpr std::uint32_t tasksOfAJob = 40;
        constexpr std::uint32_t minWaitingJobs = 3;
        while (this->fixture.dispatcher.waitingJobs("checks") < minWaitingJobs) {
            StepJob job =
                    makeJob(("short" + std::to_string(this->supplied++)).c_str(), tasksOfAJob);
            job.steps[0].size.cpuMilli = shortTaskCpu;
            job.slackFactor = 50.0;
            this->submit(job);
        }
    }

    /** Ends short runs after 400 to 690 ms, so that hardly any two end together. */
    void endShortTasks()
    {
        const Instant now = this->fixture.clock.now();
        const std::vector<FakeWorkers::SentStart> &starts = this->fixture.workers.starts;
        for (; this->seenStarts < starts.size(); ++this->seenStarts) {
            const FakeWorkers::SentStart &start = starts[this->seenStarts];
            if (start.attempt.task.job.name().starts_with("short")) {
                const auto spread = static_cast<std::int64_t>(this->seenStarts * 70 % 300);
                this->ends.emplace(now + milliseconds(400 + spread), start);
            }
        }
        while (!this->ends.empty() && this->ends.begin()->first <= now) {
            const FakeWorkers::SentStart &start = this->ends.begin()->second;
            this->fixture.workers.endRun(start.worker, start.attempt, EndKind::Succeeded);
            this->ends.erase(this->ends.begin());
        }
    }

    std::uint32_t supplied = 0;
    std::size_t seenStarts = 0;
    std::multimap<Instant, FakeWorkers::SentStart> ends;
};

/** Begins with a serving task close to its target on each of some workers. */
void beginWithSensitiveServingTasks(DispatcherFixture &fixture, std::uint32_t workers)
{
    constexpr double idleTail = 10.0;
    constexpr double tailNearTarget = 50.0;
    fixture.begin({});
    StepJob serving = makeLongRunningJob("serving", workers, 10000);
    serving.steps[0].tailTarget = milliseconds(50);
    serving.steps[0].image = "web";
    serving.steps[0].maxPerWorker = 1;
    for (std::uint32_t number = 1; number <= workers; ++number) {
        fixture.listWorker(("w" + std::to_string(number)).c_str());
    }
    fixture.accept(serving);
    fixture.runFor(milliseconds(500));
    for (const double tail : { idleTail, tailNearTarget }) {
        for (auto &[id, worker] : fixture.workers.workers) {
            cr_assert_eq(worker.running.size(), 1U);
            worker.running.begin()->second.load = tail;
        }
        fixture.runFor(seconds(3));
    }
}

StepJob makeFillingJob(const char *id, std::uint32_t tasks, const Clock &clock)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].fills = true;
    job.steps[0].image = "batch";
    job.steps[0].size = { 6400, 1000, 0 };
    job.acceptedAt = clock.calendarMillis();
    return job;
}

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

/** Returns the late limit of a job of one step with the estimate of makeJob(). */
milliseconds lateLimitOf(const StepJob &job)
{
    return DurationEstimator().objective(job) * lateLimitFactor;
}

} // namespace

/* The limit on the slowing of serving tasks kept filling jobs off all workers for good. */
Test(Starvation, aFillingJobGetsARunThoughEachWorkerHasASensitiveServingTask)
{
    DispatcherFixture fixture;
    beginWithSensitiveServingTasks(fixture, 3);
    const std::size_t before = fixture.workers.starts.size();
    const StepJob job = makeFillingJob("batch", 4, fixture.clock);
    fixture.accept(job);
    fixture.runFor(lateLimitOf(job) + seconds(1));
    cr_assert_gt(fixture.workers.starts.size(), before, "no task was started");
}

/* A filling task was kept off a worker with too little of its memory or processors left for others,
   also when each worker was so. */
Test(Starvation, aFillingJobGetsARunThoughLittleMemoryIsLeftBesideIt)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    StepJob job = makeFillingJob("batch", 1, fixture.clock);
    job.steps[0].size.memoryMb = 250000;
    fixture.accept(job);
    fixture.runFor(lateLimitOf(job) + seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/* One late filling job slows serving tasks by one task at a time only. */
Test(Starvation, ofALateFillingJobOnlyOneTaskIsStartedBeyondTheLimits)
{
    DispatcherFixture fixture;
    beginWithSensitiveServingTasks(fixture, 3);
    const std::size_t before = fixture.workers.starts.size();
    const StepJob job = makeFillingJob("batch", 4, fixture.clock);
    fixture.accept(job);
    fixture.runFor(lateLimitOf(job) + seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), before + 1);
}

/* Smaller tasks took each part of a full service that came free, so a large one never fitted. */
Test(Starvation, aLongRunningTaskGetsARunOnAFullService)
{
    FullService service(3);
    service.submit(makeLongRunningJob("watch", 2, 40000));
    service.runFor(maxWaitOfALongRunningTask);
    cr_assert_eq(service.startsOf("watch"), 2U, "%zu of its tasks were started",
                 service.startsOf("watch"));
}

/* Long-running tasks of a lower priority waited behind all others for good. */
Test(Starvation, aLongRunningTaskOfTheLowestPriorityGetsARunOnAFullService)
{
    FullService service(2);
    StepJob job = makeLongRunningJob("watch", 2, 13000);
    job.priority = 9;
    service.submit(job);
    service.runFor(maxWaitOfALongRunningTask);
    cr_assert_eq(service.startsOf("watch"), 2U);
}

/* A late job of large tasks waited behind all that came later. */
Test(Starvation, aLateJobOfLargeTasksGetsARunOnAFullService)
{
    FullService service(2);
    StepJob job = makeJob("large", 2);
    job.steps[0].size.cpuMilli = 40000;
    service.submit(job);
    service.runFor(2 * lateLimitOf(job) + seconds(1));
    cr_assert_geq(service.startsOf("large"), 1U);
}

/* The members of a gang never found room at the same time. */
Test(Starvation, aLateGangGetsARunOnAFullService)
{
    FullService service(3);
    StepJob job = makeJob("gang", 3);
    job.steps[0].gang = true;
    job.steps[0].maxPerWorker = 1;
    job.steps[0].size.cpuMilli = 30000;
    service.submit(job);
    service.runFor(2 * lateLimitOf(job) + seconds(1));
    cr_assert_eq(service.startsOf("gang"), 3U);
}

/* Room kept on a worker that leaves would keep the task waiting. */
Test(Starvation, roomIsReservedElsewhereWhenItsWorkerDrains)
{
    FullService service(2);
    service.submit(makeLongRunningJob("watch", 1, 60000));
    milliseconds waited { 0 };
    while (service.reservedWorkers().empty() && waited < maxWaitOfALongRunningTask) {
        service.runFor(milliseconds(100));
        waited += milliseconds(100);
    }
    cr_assert_eq(service.reservedWorkers().size(), 1U);
    const TargetId first = service.reservedWorkers().front();
    WorkerEntry draining = makeWorkerEntry(first.name().c_str());
    draining.draining = true;
    service.fixture.dispatcher.workerListed(draining);
    service.runFor(maxWaitOfALongRunningTask);
    cr_assert_eq(service.startsOf("watch"), 1U);
    cr_assert(service.reservedWorkers().empty(), "room is kept although no task waits");
}

/* Room that is kept for a cancelled job would be lost to all others. */
Test(Starvation, noRoomIsKeptForACancelledJob)
{
    FullService service(2);
    service.submit(makeLongRunningJob("watch", 2, 64000));
    service.runFor(milliseconds(1700));
    cr_assert_not(service.reservedWorkers().empty());
    service.fixture.cancel("watch");
    service.runFor(milliseconds(200));
    cr_assert(service.reservedWorkers().empty());
}

/* With room reserved on each worker, no other task would start while large ones wait. */
Test(Starvation, roomIsReservedOnAQuarterOfTheWorkersAtMost)
{
    FullService service(8);
    service.submit(makeLongRunningJob("watch", 20, 60000));
    service.runFor(milliseconds(1700));
    cr_assert_eq(service.reservedWorkers().size(), 2U);
}

/* A job that no worker can run kept the turn of all others that are too late. */
Test(Starvation, aJobThatCannotRunDoesNotKeepOthersFromTheirTurn)
{
    FullService service(2);
    StepJob impossible = makeJob("impossible", 1);
    impossible.steps[0].requiredLabel = "none";
    service.submit(impossible);
    service.runFor(milliseconds(100));
    StepJob job = makeJob("large", 1);
    job.steps[0].size.cpuMilli = 40000;
    service.submit(job);
    service.runFor(2 * lateLimitOf(job));
    cr_assert_eq(service.startsOf("large"), 1U);
}

/* Each change of owner made long-running tasks yield to others anew. */
Test(Starvation, aLongRunningTaskKnownToThePreviousOwnerDoesNotYieldAgain)
{
    DispatcherFixture fixture;
    StepJob job = makeLongRunningJob("watch", 1, 13000);
    job.acceptedAt = fixture.clock.calendarMillis();
    StepJobTable table = makeJobTable(job, {}, fixture.clock);
    fixture.clock.advance(seconds(10));
    fixture.begin(std::move(table));
    WorkerEntry worker = makeWorkerEntry("w1");
    worker.capacity.cpuMilli = 13000;
    StepJob urgent = makeJob("urgent", 2);
    urgent.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(urgent);
    fixture.dispatcher.workerListed(worker);
    fixture.runFor(seconds(1));
    cr_assert(!fixture.workers.starts.empty());
    cr_assert(fixture.workers.starts.front().attempt.task.job == JobId("watch"));
}

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
