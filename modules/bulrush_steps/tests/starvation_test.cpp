#include "FullService.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Returns the late limit of a job of one step with the estimate of makeJob(). */
milliseconds lateLimitOf(const StepJob &job)
{
    return DurationEstimator().objective(job) * lateLimitFactor;
}

/** A worker with little room left, where a task that ends makes more in some time. */
class NarrowWorker
{
public:
    NarrowWorker()
    {
        this->fixture.begin({});
        this->fixture.listWorker("w1");
        this->fixture.worker("w1").highestPercent = 100;
        this->fixture.runFor(milliseconds(100));
        this->submit(kept(makeLongRunningJob("holder", 1, 40000)));
        this->fixture.runFor(seconds(2));
        StepJob ending = makeJob("ending", 1);
        ending.steps[0].size.cpuMilli = 14000;
        ending.steps[0].estimate = seconds(40);
        this->submit(ending);
        this->fixture.runFor(seconds(2));
        cr_assert_eq(this->fixture.workers.starts.size(), 2U);
        this->ending = this->fixture.workers.starts.back();
    }

    /** Returns a job of which no run is stopped to make room. */
    static StepJob kept(StepJob job)
    {
        job.steps[0].maxConcurrentDisruptions = 1;
        return job;
    }

    void submit(StepJob job)
    {
        job.acceptedAt = this->fixture.clock.calendarMillis();
        this->fixture.accept(job);
    }

    void endTheEndingTask()
    {
        this->fixture.workers.endRun(TargetId("w1"), this->ending.attempt, EndKind::Succeeded);
    }

    bool hasStarted(const char *job) const
    {
        const std::vector<FakeWorkers::SentStart> &starts = this->fixture.workers.starts;
        return std::any_of(starts.begin(), starts.end(),
                           [job](const auto &each) { return each.attempt.task.job == JobId(job); });
    }

    DispatcherFixture fixture;

private:
    FakeWorkers::SentStart ending;
};

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

/* Room that a large task could not use yet kept out the long-running tasks that fitted. */
Test(Starvation, aLongRunningTaskThatFitsIsNotKeptOutByALargerOneThatLacksRoom)
{
    NarrowWorker service;
    service.submit(makeLongRunningJob("large", 1, 20000));
    service.fixture.runFor(seconds(2));
    service.submit(NarrowWorker::kept(makeLongRunningJob("small", 1, 8000)));
    service.fixture.runFor(maxWaitOfALongRunningTask);
    cr_assert(service.hasStarted("small"));
}

/* Smaller long-running tasks that come one after another would pass a large one for good. */
Test(Starvation, aLargeTaskThatHasWaitedMuchLongerIsNotPassedBySmallerOnes)
{
    NarrowWorker service;
    service.submit(makeLongRunningJob("large", 1, 20000));
    service.fixture.runFor(seconds(16));
    service.submit(NarrowWorker::kept(makeLongRunningJob("small", 1, 8000)));
    service.fixture.runFor(maxWaitOfALongRunningTask);
    cr_assert_not(service.hasStarted("small"));
    service.endTheEndingTask();
    service.fixture.runFor(seconds(1));
    cr_assert(service.hasStarted("large"));
}

/* A run was stopped for a large task, and a smaller one took what the stop had freed so far. */
Test(Starvation, theRoomOfARunThatIsBeingStoppedIsNotPassedOn)
{
    Worker worker;
    worker.entry.capacity = { 64000, 256000, 0 };
    Run run;
    run.attempt.task.job = JobId("holder");
    run.size = { 50000, 1000, 0 };
    worker.addRun(run);
    const StepRef large { JobId("large"), 0, 0 };
    const StepRef small { JobId("small"), 0, 0 };
    worker.reservation = StartReservation { large, { 40000, 1000, 0 }, Instant(), false, false };
    const ResourceVector size { 8000, 1000, 0 };
    cr_assert_not(worker.hasRoomFor(small, size));
    cr_assert(worker.hasRoomFor(small, size, true));
    worker.requestStop(worker.runs.begin()->second);
    cr_assert_not(worker.hasRoomFor(small, size, true));
}

/* The stopped run had ended, but another run that gives the large task room had not yet. */
Test(Starvation, roomThatAStopHasFreedIsNotPassedOnBeforeTheRestOfItIsThere)
{
    Worker worker;
    worker.entry.capacity = { 64000, 256000, 0 };
    Run run;
    run.attempt.task.job = JobId("ending");
    run.size = { 50000, 1000, 0 };
    worker.addRun(run);
    const StepRef large { JobId("large"), 0, 0 };
    const StepRef small { JobId("small"), 0, 0 };
    worker.reservation = StartReservation { large, { 40000, 1000, 0 }, Instant(), false, true };
    cr_assert_not(worker.hasRoomFor(small, { 8000, 1000, 0 }, true));
}
