#include "PolicyFixture.h"

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>
#include <random>

using namespace bulrush;
using namespace bulrush::test;

Test(LeaseClock, aLeaseOutlastsItsLengthOnASlowClock)
{
    LeaseClock clock;
    cr_assert_not(clock.leaseExpiredAt().has_value());
    clock.recordReading(1000, start);
    clock.recordLeaseEnd(5000);
    cr_assert_geq(*clock.leaseExpiredAt() - start, milliseconds(4081));
    cr_assert_leq(*clock.leaseExpiredAt() - start, milliseconds(4300));
    cr_assert_eq(*clock.clockAt(start + milliseconds(500)), 1500);
}

Test(LeaseClock, anEarlierLeaseEndDoesNotShortenALease)
{
    LeaseClock clock;
    clock.recordReading(1000, start);
    clock.recordLeaseEnd(5000);
    clock.recordLeaseEnd(2000);
    cr_assert_geq(*clock.leaseExpiredAt() - start, milliseconds(4000));
}

/* When there is more work than capacity, jobs that can still meet their objective go first, and
   jobs that are too late to earn anything go last. */
Test(WorkOrder, underOverloadJobsThatCanMeetTheirObjectiveGoFirst)
{
    WaitingJob onTime;
    onTime.remaining = seconds(1);
    onTime.objective = seconds(3);
    WaitingJob late = onTime;
    late.age = seconds(4);
    WaitingJob tooLate = onTime;
    tooLate.age = seconds(20);
    cr_assert(rankOf(onTime) < rankOf(late));
    cr_assert(rankOf(late) < rankOf(tooLate));
}

/* The last task of a job, which had to start again, waited behind all new jobs until it was of no
   use. */
Test(WorkOrder, aJobThatHasAlmostBeenStartedIsCompletedBeforeOthersAreBegun)
{
    WaitingJob fresh;
    fresh.remaining = seconds(1);
    fresh.objective = seconds(3);
    WaitingJob begun = fresh;
    begun.unstartedShare = 0.1;
    cr_assert(rankOf(begun) < rankOf(fresh));
    begun.age = seconds(4);
    cr_assert(rankOf(begun) < rankOf(fresh), "also when it is late");
    begun.unstartedShare = 0.5;
    cr_assert(rankOf(fresh) < rankOf(begun), "not when much of a late job is left");
}

/* With the least slack first, each job was begun when its time had almost run out. */
Test(WorkOrder, aJobThatWouldEndJustInTimeIsBegunAfterThoseThatHaveTime)
{
    WaitingJob fresh;
    fresh.remaining = seconds(1);
    fresh.objective = seconds(3);
    WaitingJob justInTime = fresh;
    justInTime.age = milliseconds(1900);
    cr_assert(rankOf(fresh) < rankOf(justInTime));
}

Test(WorkOrder, jobsOnTimeAreOrderedByPriorityAndThenBySlack)
{
    WaitingJob tight;
    tight.remaining = seconds(2);
    tight.objective = seconds(3);
    WaitingJob loose = tight;
    loose.objective = seconds(9);
    WaitingJob important = loose;
    WaitingJob lasting = tight;
    lasting.runsIndefinitely = true;
    tight.priority = 1;
    loose.priority = 1;
    cr_assert(rankOf(tight) < rankOf(loose));
    cr_assert(rankOf(important) < rankOf(tight));
    lasting.priority = 1;
    cr_assert(rankOf(loose) < rankOf(lasting),
              "short jobs go before lasting jobs of the same priority");
}

Test(DurationEstimator, learnsHowFarEstimatesAreOff)
{
    DurationEstimator estimator;
    StepSpec step;
    step.estimate = milliseconds(1000);
    for (int round = 0; round < 100; ++round) {
        estimator.recordDuration("q", step, milliseconds(2000));
    }
    cr_assert_geq(estimator.expectedDuration("q", step).count(), 1900);
    cr_assert_eq(estimator.expectedDuration("other", step).count(), 1000);
}

Test(DurationEstimator, theLongestChainFollowsDependencies)
{
    StepJob job;
    StepSpec step;
    step.estimate = milliseconds(100);
    job.steps = { step, step, step };
    job.steps[2].dependsOn = { 0 };
    cr_assert_eq(DurationEstimator().criticalPath(job).count(), 200);
}

Test(PressureModel, tellsHeavyImagesFromLightOnes)
{
    const PressureModel model = makeTrainedModel();
    cr_assert_gt(model.coefficient("heavy", "web"), 1.5);
    cr_assert_lt(model.coefficient("light", "web"), 0.3);
}

Test(PressureModel, anUnknownPairIsAssumedToBeNeitherHarmlessNorHeavy)
{
    const PressureModel model;
    cr_assert_gt(model.coefficient("new", "web"), 0.2);
    cr_assert_lt(model.coefficient("new", "web"), 1.0);
}

namespace {

/** Returns the load of a job whose number of users rises and falls periodically. */
double waveAt(Instant moment)
{
    constexpr double mean = 0.5;
    constexpr double swing = 0.2;
    constexpr double periodSeconds = 14.0;
    const double passed = std::chrono::duration<double>(moment - start).count();
    return mean + swing * std::sin(2.0 * std::numbers::pi * passed / periodSeconds);
}

} // namespace

/* The load rises and falls periodically, and the readings are noisy. */
Test(LoadTrend, predictsAPeriodicLoadOneSecondAhead)
{
    LoadTrend trend;
    std::minstd_rand random(7);
    std::normal_distribution<double> noise(0.0, 0.05);
    Instant now = start;
    double errorWithSlope = 0.0;
    double errorWithoutSlope = 0.0;
    for (; now < start + seconds(60); now += milliseconds(60)) {
        trend.observe(waveAt(now) + noise(random), 0.0025, now);
        const Instant soon = now + seconds(1);
        errorWithSlope += std::pow(trend.loadAt(soon) - waveAt(soon), 2);
        errorWithoutSlope += std::pow(trend.loadAt(now) - waveAt(soon), 2);
    }
    cr_assert_lt(errorWithSlope, 0.75 * errorWithoutSlope, "%.3f and %.3f", errorWithSlope,
                 errorWithoutSlope);
    cr_assert_gt(trend.varianceAt(now + seconds(2)), trend.varianceAt(now));
}

/* The tasks of a job share its load, so reports of a task with few filling tasks beside it also
   apply to its siblings. */
Test(PressureModel, aTaskIsExpectedToBeAsLoadedAsItsSiblings)
{
    PressureModel model = makeTrainedModel();
    const Worker quiet = makeWorker("w", { makeServingRun("s", "web", 15) });
    const Worker loaded = makeWorker("w", { makeServingRun("s", "web", 33) });
    const Worker other = makeWorker("v", { makeServingRun("s", "web", 15) });
    const Run &sibling = other.runs.begin()->second;
    const double before = model.expectedPressure(other, sibling, start);
    for (Instant now = start; now < start + seconds(3); now += milliseconds(100)) {
        model.observe(loaded, now);
    }
    cr_assert_gt(model.expectedPressure(other, sibling, start + seconds(3)), before + 0.2);
}

/* The filling tasks of a large job are placed one after the other before any of them appears in a
   report. Another one must not count as harmless just because the serving task is already expected
   to exceed its tail target. */
/* Neither worker's serving task is near its tail target. The lower added pressure outweighs
   slightly less unused processor time. */
/* In a backlog of filling tasks, an image that no worker can take must not block one that adds less
   pressure. */
/* Each start of a step with many tasks changes the scores for the next choice. */
/* The impact on serving tasks is computed only for workers that may be the best. */
Test(WorkOrder, aJobIsUrgentWhenLittleOfItsObjectiveIsLeft)
{
    WaitingJob job;
    job.remaining = seconds(2);
    job.objective = seconds(10);
    job.age = seconds(4);
    cr_assert_not(isUrgent(job));
    job.age = milliseconds(5100);
    cr_assert(isUrgent(job));
    job.age = seconds(30);
    cr_assert(isUrgent(job), "the job is late already");
}

/* A lasting task that ended must be restarted even if short work of its priority never runs out. */
Test(WorkOrder, aLastingTaskDoesNotWaitBehindShortWorkForever)
{
    WaitingJob shortJob;
    shortJob.remaining = milliseconds(500);
    shortJob.objective = seconds(2);
    WaitingJob lasting;
    lasting.runsIndefinitely = true;
    lasting.waited = milliseconds(200);
    cr_assert(rankOf(shortJob) < rankOf(lasting));
    lasting.waited = seconds(2);
    cr_assert(rankOf(lasting) < rankOf(shortJob));
}

/* Filling is blocked on the worker because its serving task exceeds its tail target; a new filling
   task would slow it further. */
/* Packing small tasks densely leaves free capacity in pieces that large tasks fit into. */
Test(FillController, onlyTheFillingRunWithTheMostPressureMoves)
{
    FillController control;
    const Worker alone = makeWorker("w", { makeServingRun("s", "web", 10) });
    const Worker besideLight =
            makeWorker("w", { makeServingRun("s", "web", 15), makeFillingRun("l", "light", 6400) });
    const Worker besideHeavy =
            makeWorker("w", { makeServingRun("s", "web", 45), makeFillingRun("h", "heavy", 6400) });
    for (Instant now = start - trainingTime; now < start; now += milliseconds(100)) {
        control.observe(alone, now);
        control.observe(besideLight, now);
        control.observe(besideHeavy, now);
    }
    const Worker calm =
            makeWorker("w", { makeServingRun("s", "web", 30), makeFillingRun("h", "heavy", 6400) });
    cr_assert(control.decide(calm, start, DispatchSettings()).empty());
    const Worker overTarget =
            makeWorker("w",
                       { makeServingRun("s", "web", 80), makeFillingRun("h", "heavy", 6400),
                         makeFillingRun("l", "light", 6400) });
    const std::vector<FillChange> changes = control.decide(overTarget, start, DispatchSettings());
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes[0].move);
    cr_assert(changes[0].attempt.task.job == JobId("h"));
}

/* maxTailViolation limits how long a filling task may run beside a serving task that exceeds its
   tail target. */
Test(FillController, allFillingRunsPauseWellBeforeTheMaximumViolation)
{
    FillController control;
    DispatchSettings settings;
    settings.maxTailViolation = milliseconds(4000);
    const Worker overTarget =
            makeWorker("w", { makeServingRun("s", "web", 80), makeFillingRun("l", "light", 6400) });
    control.decide(overTarget, start, settings);
    const std::vector<FillChange> changes =
            control.decide(overTarget, start + seconds(2), settings);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].pacePercent, 0U);
}

Test(RunWatch, aRunWithoutProgressIsStalled)
{
    Run run = makeRun("a", 1000, "");
    run.progressPercent = 40;
    Worker worker = makeWorker("w", { run });
    worker.reportedAt = start + milliseconds(500);
    cr_assert(assessRun(worker, run, start + milliseconds(500), seconds(1)) == RunHealth::Healthy);
    worker.reportedAt = start + milliseconds(1500);
    cr_assert(assessRun(worker, run, start + milliseconds(1500), seconds(1)) == RunHealth::Stalled);
    run.pacePercent = 0;
    cr_assert(assessRun(worker, run, start + milliseconds(1500), seconds(1)) == RunHealth::Healthy);
}

Test(RunWatch, aRunThatWouldEndSoonerElsewhereIsSlow)
{
    Run run = makeRun("a", 1000, "");
    run.progressPercent = 30;
    run.progressedAt = start + milliseconds(3400);
    Worker worker = makeWorker("w", { run });
    worker.reportedAt = start + milliseconds(3500);
    cr_assert(assessRun(worker, run, start + milliseconds(3500), seconds(1)) == RunHealth::Slow);
    run.progressPercent = 90;
    cr_assert(assessRun(worker, run, start + milliseconds(3500), seconds(1)) == RunHealth::Healthy);
}

Test(RunWatch, aWorkerIsAvoidedAfterConsecutiveFailures)
{
    Worker worker = makeWorker("w", {});
    cr_assert_eq(recordRunEnd(worker, true).count(), 0);
    cr_assert_eq(recordRunEnd(worker, true).count(), 1000);
    cr_assert_eq(recordRunEnd(worker, true).count(), 2000);
    cr_assert_eq(recordRunEnd(worker, false).count(), 0);
}

/* A limit of pace was lifted before it was in force, so the run slowed serving tasks at full pace.
 */
Test(FillController, aPaceLimitIsLiftedOnlyOnceItIsInForce)
{
    FillController control;
    Run limited = makeFillingRun("f", "light", 0);
    limited.paceLimit = 5;
    Worker worker = makeWorker("w", { limited });
    const std::int64_t demand = worker.fillDemandMilli;
    cr_assert_eq(demand, limited.fillCpuMilli * 5 / 100, "it demands %ld", demand);
    control.liftPaceLimits(worker, start, 1.0);
    cr_assert_eq(worker.runs.begin()->second.paceLimit, 5U);
    worker.runs.begin()->second.pacePercent = 5;
    control.liftPaceLimits(worker, start, 1.0);
    cr_assert_eq(worker.runs.begin()->second.paceLimit, fullPace);
    cr_assert_eq(worker.fillDemandMilli, limited.fillCpuMilli);
}
