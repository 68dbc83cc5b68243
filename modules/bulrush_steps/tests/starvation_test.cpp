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
