#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>
#include <random>

using namespace bulrush;

namespace {

const Instant start { hours(1) };

Run makeRun(const char *job, std::int64_t cpu, const char *image)
{
    Run run;
    run.attempt = { { JobId(job), 0, 0, 0 }, 1 };
    run.size = { cpu, 1000, 0 };
    run.image = image;
    run.phase = RunPhase::Running;
    run.confirmedAt = start;
    run.progressedAt = start;
    return run;
}

Run makeServingRun(const char *job, const char *image, double tail)
{
    Run run = makeRun(job, 10000, image);
    run.runsIndefinitely = true;
    run.progressPercent = 100;
    run.tailTarget = milliseconds(50);
    run.load = tail;
    return run;
}

Run makeFillingRun(const char *job, const char *image, double used)
{
    Run run = makeRun(job, 0, image);
    run.fillCpuMilli = 6400;
    run.load = used;
    run.resumable = true;
    return run;
}

Worker makeWorker(const char *name, const std::vector<Run> &runs)
{
    Worker worker;
    worker.entry.worker = TargetId(name);
    worker.entry.service = ServiceId("review");
    worker.entry.capacity = { 64000, 256000, 0 };
    worker.confirmed = true;
    worker.onRoster = true;
    worker.availableFillCpuMilli = 64000;
    for (const Run &run : runs) {
        worker.addRun(run);
    }
    return worker;
}

/** How long a model is trained with reports before `start`. */
constexpr seconds trainingTime { 30 };

/** Returns a model trained with reports of a serving image alone, beside a heavy and beside a light
    filling image. */
PressureModel makeTrainedModel()
{
    PressureModel model;
    const Worker alone = makeWorker("w", { makeServingRun("s", "web", 15) });
    const Worker besideHeavy =
            makeWorker("w", { makeServingRun("s", "web", 45), makeFillingRun("f", "heavy", 6400) });
    const Worker besideLight =
            makeWorker("w", { makeServingRun("s", "web", 15), makeFillingRun("f", "light", 6400) });
    model.observe(makeWorker("w", { makeServingRun("s", "web", 10) }), start - trainingTime);
    for (Instant now = start - trainingTime; now < start; now += milliseconds(100)) {
        model.observe(alone, now);
        model.observe(besideHeavy, now);
        model.observe(besideLight, now);
    }
    return model;
}

StepSpec makeFillingStep(const char *image)
{
    StepSpec step;
    step.size = { 6400, 1000, 0 };
    step.fills = true;
    step.image = image;
    return step;
}

} // namespace

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

Test(Placement, aFillingTaskAvoidsTheServingTaskThatItSlows)
{
    const PressureModel model = makeTrainedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", { makeServingRun("s", "web", 35) }));
    workers.emplace(TargetId("b"), makeWorker("b", {}));
    workers.at(TargetId("b")).availableFillCpuMilli = 20000;
    const StepSpec step = makeFillingStep("heavy");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 1.0;
    const Placement placement(start, model);
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("b"));
    workers.erase(TargetId("b"));
    request.riskAllowed = 0.1;
    cr_assert_null(placement.choose(workers, request),
                   "the task was placed beside a serving task that it slows");
    const StepSpec light = makeFillingStep("light");
    request.step = &light;
    cr_assert_not_null(placement.choose(workers, request));
}

/* The filling tasks of a large job are placed one after the other before any of them appears in a
   report. Another one must not count as harmless just because the serving task is already expected
   to exceed its tail target. */
Test(Placement, fewTasksOfALargeJobArePlacedBesideOneServingTask)
{
    const PressureModel model = makeTrainedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", { makeServingRun("s", "web", 15) }));
    Worker &worker = workers.at(TargetId("a"));
    const StepSpec step = makeFillingStep("heavy");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 0.8;
    const Placement placement(start, model);
    constexpr std::uint32_t tasks = 8;
    std::uint32_t placed = 0;
    while (placed < tasks && placement.choose(workers, request) != nullptr) {
        Run run = makeFillingRun("large", "heavy", 0);
        run.attempt.task.index = ++placed;
        worker.addRun(run);
    }
    cr_assert_leq(placed, 2U, "%u were placed", placed);
}

/* Neither worker's serving task is near its tail target. The lower added pressure outweighs
   slightly less unused processor time. */
Test(Placement, aFillingTaskGoesWhereItAddsLessPressure)
{
    PressureModel model = makeTrainedModel();
    model.observe(makeWorker("w", { makeServingRun("d", "db", 10) }), start);
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", { makeServingRun("d", "db", 12) }));
    workers.emplace(TargetId("b"), makeWorker("b", { makeServingRun("s", "web", 12) }));
    workers.at(TargetId("b")).availableFillCpuMilli = 61000;
    const StepSpec step = makeFillingStep("light");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 1.0;
    const Placement placement(start, model);
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("b"));
}

/* In a backlog of filling tasks, an image that no worker can take must not block one that adds less
   pressure. */
Test(UnplacedStep, rulesOutOnlyStepsThatAskForAsMuchOrMore)
{
    const StepSpec heavy = makeFillingStep("heavy");
    const StepSpec light = makeFillingStep("light");
    const UnplacedStep unplaced { &heavy, 0.5 };
    cr_assert(unplaced.rulesOut(heavy, 0.5));
    cr_assert_not(unplaced.rulesOut(light, 0.5));
    cr_assert_not(unplaced.rulesOut(heavy, 0.9), "more risk is allowed");
    StepSpec reserving = heavy;
    reserving.fills = false;
    cr_assert_not(unplaced.rulesOut(reserving, 0.5));
    StepSpec smaller = heavy;
    smaller.size.memoryMb /= 2;
    cr_assert_not(unplaced.rulesOut(smaller, 0.5));
    const UnplacedStep noRoom { &reserving, 0.0 };
    reserving.image = "other";
    cr_assert(noRoom.rulesOut(reserving, 0.0));
}

/* Each start of a step with many tasks changes the scores for the next choice. */
Test(StepPlacement, choosesAsIfAllWorkersWereScoredForEachTask)
{
    const PressureModel model;
    StepSpec step;
    step.size = { 9000, 30000, 0 };
    step.maxPerWorker = 3;
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    const Placement placement(start, model);
    std::map<TargetId, Worker> incremental;
    for (const char *name : { "a", "b", "c" }) {
        incremental.emplace(TargetId(name), makeWorker(name, { makeRun("x", 20000, "") }));
    }
    std::map<TargetId, Worker> reference = incremental;
    TaskRequest referenceRequest = request;
    StepPlacement stepPlacement(placement, incremental, request);
    for (int task = 0; task < 12; ++task) {
        Worker *chosen = stepPlacement.choose(request);
        Worker *expected = placement.choose(reference, referenceRequest);
        cr_assert_eq(chosen == nullptr, expected == nullptr);
        if (chosen == nullptr) {
            continue;
        }
        cr_assert(chosen->entry.worker == expected->entry.worker);
        for (Worker *worker : { chosen, expected }) {
            worker->committed += step.size;
        }
        ++request.siblings[chosen->entry.worker];
        ++referenceRequest.siblings[expected->entry.worker];
        stepPlacement.update(*chosen, request);
    }
}

/* The impact on serving tasks is computed only for workers that may be the best. */
Test(StepPlacement, choosesFillingTasksAsIfTheImpactOnAllWorkersWereKnown)
{
    const PressureModel model = makeTrainedModel();
    const StepSpec step = makeFillingStep("heavy");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 0.9;
    const Placement placement(start, model);
    std::map<TargetId, Worker> incremental;
    for (int number = 0; number < 12; ++number) {
        const std::string name = "w" + std::to_string(number);
        const double tail = 15.0 + 2.0 * (number * 7 % 12);
        incremental.emplace(TargetId(name),
                            makeWorker(name.c_str(), { makeServingRun("s", "web", tail) }));
        incremental.at(TargetId(name)).availableFillCpuMilli = 30000 + 2500 * (number * 5 % 12);
    }
    std::map<TargetId, Worker> reference = incremental;
    StepPlacement stepPlacement(placement, incremental, request);
    std::uint32_t placed = 0;
    for (std::uint32_t task = 0; task < 60; ++task) {
        Worker *chosen = stepPlacement.choose(request);
        Worker *expected = placement.choose(reference, request);
        cr_assert_eq(chosen == nullptr, expected == nullptr);
        if (chosen == nullptr) {
            break;
        }
        cr_assert(chosen->entry.worker == expected->entry.worker);
        Run run = makeFillingRun("large", "heavy", 0);
        run.attempt.task.index = ++placed;
        chosen->addRun(run);
        expected->addRun(run);
        stepPlacement.update(*chosen, request);
    }
    cr_assert_geq(placed, 6U);
}

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
Test(Placement, aWorkerWhereFillingIsBlockedGetsNoFillingTask)
{
    const PressureModel model = makeTrainedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", { makeServingRun("s", "web", 80) }));
    cr_assert(FillController::exceedsTailTarget(workers.at(TargetId("a"))));
    const StepSpec step = makeFillingStep("light");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 10.0;
    const Placement placement(start, model);
    cr_assert_not_null(placement.choose(workers, request));
    workers.at(TargetId("a")).fillsBlockedUntil = start + milliseconds(1);
    cr_assert_null(placement.choose(workers, request));
}

/* Packing small tasks densely leaves free capacity in pieces that large tasks fit into. */
Test(Placement, aReservingTaskGoesToTheFullestWorkerWithRoomForIt)
{
    const PressureModel model;
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", {}));
    workers.emplace(TargetId("b"), makeWorker("b", { makeRun("x", 40000, "") }));
    StepSpec step;
    step.size = { 8000, 1000, 0 };
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    const Placement placement(start, model);
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("b"));
    step.size.cpuMilli = 30000;
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("a"));
}

Test(Placement, hardConstraintsAreRespected)
{
    const PressureModel model;
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", {}));
    Worker &worker = workers.at(TargetId("a"));
    worker.entry.labels = { "small" };
    StepSpec step;
    step.size = { 1000, 1000, 0 };
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    const Placement placement(start, model);
    const auto chosen = [&] { return placement.choose(workers, request) != nullptr; };
    cr_assert(chosen());
    step.requiredLabel = "big";
    cr_assert_not(chosen(), "label");
    step.requiredLabel = "";
    step.maxPerWorker = 1;
    request.siblings[TargetId("a")] = 1;
    cr_assert_not(chosen(), "siblings");
    request.siblings.clear();
    request.service = ServiceId("other");
    cr_assert_not(chosen(), "service");
    request.service = ServiceId("review");
    worker.entry.draining = true;
    cr_assert_not(chosen(), "draining");
    worker.entry.draining = false;
    worker.confirmed = false;
    cr_assert_not(chosen(), "not confirmed");
    worker.confirmed = true;
    worker.committed.memoryMb = 256000;
    cr_assert_not(chosen(), "memory");
}

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
