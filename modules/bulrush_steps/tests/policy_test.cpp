#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>
#include <random>

using namespace bulrush;

namespace {

const Instant start { hours(1) };

Run runOf(const char *job, std::int64_t cpu, const char *image)
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

Run servingRun(const char *job, const char *image, double tail)
{
    Run run = runOf(job, 10000, image);
    run.lasting = true;
    run.percent = 100;
    run.tailTarget = milliseconds(50);
    run.load = tail;
    return run;
}

Run fillingRun(const char *job, const char *image, double used)
{
    Run run = runOf(job, 0, image);
    run.fillCpuMilli = 6400;
    run.load = used;
    run.resumes = true;
    return run;
}

Worker workerWith(const char *name, const std::vector<Run> &runs)
{
    Worker worker;
    worker.entry.worker = TargetId(name);
    worker.entry.service = ServiceId("review");
    worker.entry.capacity = { 64000, 256000, 0 };
    worker.confirmed = true;
    worker.onRoster = true;
    worker.fillRoom = 64000;
    for (const Run &run : runs) {
        worker.committed += run.size;
        worker.runs.emplace(run.attempt, run);
    }
    return worker;
}

/** How long a model learns. */
constexpr seconds learningSpan { 30 };

/** A model that has seen a heavy and a light image beside a serving one. */
PressureModel learnedModel()
{
    PressureModel model;
    const Worker alone = workerWith("w", { servingRun("s", "web", 15) });
    const Worker besideHeavy =
            workerWith("w", { servingRun("s", "web", 45), fillingRun("f", "heavy", 6400) });
    const Worker besideLight =
            workerWith("w", { servingRun("s", "web", 15), fillingRun("f", "light", 6400) });
    model.observe(workerWith("w", { servingRun("s", "web", 10) }), start - learningSpan);
    for (Instant now = start - learningSpan; now < start; now += milliseconds(100)) {
        model.observe(alone, now);
        model.observe(besideHeavy, now);
        model.observe(besideLight, now);
    }
    return model;
}

StepSpec fillStep(const char *image)
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
    cr_assert_not(clock.leaseOverAt().has_value());
    clock.read(1000, start);
    clock.promised(5000);
    cr_assert_geq(*clock.leaseOverAt() - start, milliseconds(4081));
    cr_assert_leq(*clock.leaseOverAt() - start, milliseconds(4300));
    cr_assert_eq(*clock.clockAt(start + milliseconds(500)), 1500);
}

Test(LeaseClock, aShorterPromiseDoesNotShortenALease)
{
    LeaseClock clock;
    clock.read(1000, start);
    clock.promised(5000);
    clock.promised(2000);
    cr_assert_geq(*clock.leaseOverAt() - start, milliseconds(4000));
}

/* More work than room: what can still be on time goes first, what is late for good goes last. */
Test(WorkOrder, overloadServesWhatCanStillEarn)
{
    WaitingJob onTime;
    onTime.remaining = seconds(1);
    onTime.objective = seconds(3);
    WaitingJob late = onTime;
    late.age = seconds(4);
    WaitingJob hopeless = onTime;
    hopeless.age = seconds(20);
    cr_assert(rankOf(onTime) < rankOf(late));
    cr_assert(rankOf(late) < rankOf(hopeless));
}

Test(WorkOrder, ofWorkOnTimeTheLeastSlackGoesFirstInsideAPriority)
{
    WaitingJob tight;
    tight.remaining = seconds(2);
    tight.objective = seconds(3);
    WaitingJob loose = tight;
    loose.objective = seconds(9);
    WaitingJob important = loose;
    WaitingJob lasting = tight;
    lasting.lasting = true;
    tight.priority = 1;
    loose.priority = 1;
    cr_assert(rankOf(tight) < rankOf(loose));
    cr_assert(rankOf(important) < rankOf(tight));
    lasting.priority = 1;
    cr_assert(rankOf(loose) < rankOf(lasting), "short work goes before work that lasts");
}

Test(DurationBook, learnsHowFarEstimatesAreOff)
{
    DurationBook book;
    StepSpec step;
    step.estimate = milliseconds(1000);
    for (int round = 0; round < 100; ++round) {
        book.learn("q", step, milliseconds(2000));
    }
    cr_assert_geq(book.expected("q", step).count(), 1900);
    cr_assert_eq(book.expected("other", step).count(), 1000);
}

Test(DurationBook, theLongestChainFollowsDependencies)
{
    StepJob job;
    StepSpec step;
    step.estimate = milliseconds(100);
    job.steps = { step, step, step };
    job.steps[2].dependsOn = { 0 };
    cr_assert_eq(DurationBook().longestChain(job).count(), 200);
}

Test(PressureModel, tellsHeavyImagesFromLightOnes)
{
    const PressureModel model = learnedModel();
    cr_assert_gt(model.coefficient("heavy", "web"), 1.5);
    cr_assert_lt(model.coefficient("light", "web"), 0.3);
}

Test(PressureModel, anUnknownPairIsNeitherTakenAsHarmlessNorAsHeavy)
{
    const PressureModel model;
    cr_assert_gt(model.coefficient("new", "web"), 0.2);
    cr_assert_lt(model.coefficient("new", "web"), 1.0);
}

namespace {

/** The load of a job whose users come in waves. */
double waveAt(Instant moment)
{
    constexpr double mean = 0.5;
    constexpr double swing = 0.2;
    constexpr double periodSeconds = 14.0;
    const double passed = std::chrono::duration<double>(moment - start).count();
    return mean + swing * std::sin(2.0 * std::numbers::pi * passed / periodSeconds);
}

} // namespace

/* Users come in waves, and each reading is rough. */
Test(LoadTrend, tellsWhereAWaveWillBeAMomentFromNow)
{
    LoadTrend trend;
    std::minstd_rand random(7);
    std::normal_distribution<double> noise(0.0, 0.05);
    Instant now = start;
    double withSlope = 0.0;
    double withoutSlope = 0.0;
    for (; now < start + seconds(60); now += milliseconds(60)) {
        trend.observe(waveAt(now) + noise(random), 0.0025, now);
        const Instant soon = now + seconds(1);
        withSlope += std::pow(trend.at(soon) - waveAt(soon), 2);
        withoutSlope += std::pow(trend.at(now) - waveAt(soon), 2);
    }
    cr_assert_lt(withSlope, 0.75 * withoutSlope, "%.3f and %.3f", withSlope, withoutSlope);
    cr_assert_gt(trend.varianceAt(now + seconds(2)), trend.varianceAt(now));
}

/* The load of a job is known from the tasks that have little beside them. */
Test(PressureModel, aTaskIsExpectedToBeAsLoadedAsItsSiblings)
{
    PressureModel model = learnedModel();
    const Worker quiet = workerWith("w", { servingRun("s", "web", 15) });
    const Worker loaded = workerWith("w", { servingRun("s", "web", 33) });
    const Worker other = workerWith("v", { servingRun("s", "web", 15) });
    const Run &sibling = other.runs.begin()->second;
    const double before = model.expectedPressure(other, sibling, start);
    for (Instant now = start; now < start + seconds(3); now += milliseconds(100)) {
        model.observe(loaded, now);
    }
    cr_assert_gt(model.expectedPressure(other, sibling, start + seconds(3)), before + 0.2);
}

Test(Placement, aFillingTaskAvoidsTheServingTaskThatItSlows)
{
    const PressureModel model = learnedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", { servingRun("s", "web", 35) }));
    workers.emplace(TargetId("b"), workerWith("b", {}));
    workers.at(TargetId("b")).fillRoom = 20000;
    const StepSpec step = fillStep("heavy");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 1.0;
    const Placement placement(start, model);
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("b"));
    workers.erase(TargetId("b"));
    request.riskAllowed = 0.1;
    cr_assert_null(placement.choose(workers, request), "it was placed beside what it harms");
    const StepSpec light = fillStep("light");
    request.step = &light;
    cr_assert_not_null(placement.choose(workers, request));
}

/* A large job arrives: its filling tasks are placed one after the other before any of them shows in
   a report. Once a serving task is expected over its bound, one more does not count as harmless. */
Test(Placement, theTasksOfALargeJobDoNotPileUpBesideAServingTask)
{
    const PressureModel model = learnedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", { servingRun("s", "web", 15) }));
    Worker &worker = workers.at(TargetId("a"));
    const StepSpec step = fillStep("heavy");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 0.8;
    const Placement placement(start, model);
    constexpr std::uint32_t tasks = 8;
    std::uint32_t placed = 0;
    while (placed < tasks && placement.choose(workers, request) != nullptr) {
        Run run = fillingRun("large", "heavy", 0);
        run.attempt.task.index = ++placed;
        worker.runs.emplace(run.attempt, run);
    }
    cr_assert_leq(placed, 2U, "%u were placed", placed);
}

/* Neither worker's serving task is near its bound: the task goes where it presses less, though a
   little less is unused there. */
Test(Placement, aFillingTaskGoesWhereItPressesLess)
{
    PressureModel model = learnedModel();
    model.observe(workerWith("w", { servingRun("d", "db", 10) }), start);
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", { servingRun("d", "db", 12) }));
    workers.emplace(TargetId("b"), workerWith("b", { servingRun("s", "web", 12) }));
    workers.at(TargetId("b")).fillRoom = 61000;
    const StepSpec step = fillStep("light");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 1.0;
    const Placement placement(start, model);
    cr_assert(placement.choose(workers, request)->entry.worker == TargetId("b"));
}

/* A backlog of filling tasks: an image that finds no place must not hold up one that presses less.
 */
Test(UnplacedStep, rulesOutOnlyWhatAsksForAsMuch)
{
    const StepSpec heavy = fillStep("heavy");
    const StepSpec light = fillStep("light");
    const UnplacedStep unplaced { &heavy, 0.5 };
    cr_assert(unplaced.rulesOut(heavy, 0.5));
    cr_assert_not(unplaced.rulesOut(light, 0.5));
    cr_assert_not(unplaced.rulesOut(heavy, 0.9), "it may risk more");
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

/* A step of many tasks: each start counts for the next choice. */
Test(StepPlacement, choosesAsIfAllWorkersWereJudgedAnew)
{
    const PressureModel model;
    StepSpec step;
    step.size = { 9000, 30000, 0 };
    step.mostPerWorker = 3;
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    const Placement placement(start, model);
    std::map<TargetId, Worker> one;
    for (const char *name : { "a", "b", "c" }) {
        one.emplace(TargetId(name), workerWith(name, { runOf("x", 20000, "") }));
    }
    std::map<TargetId, Worker> other = one;
    TaskRequest otherRequest = request;
    StepPlacement places(placement, one, request);
    for (int task = 0; task < 12; ++task) {
        Worker *first = places.choose();
        Worker *second = placement.choose(other, otherRequest);
        cr_assert_eq(first == nullptr, second == nullptr);
        if (first == nullptr) {
            continue;
        }
        cr_assert(first->entry.worker == second->entry.worker);
        for (Worker *worker : { first, second }) {
            worker->committed += step.size;
        }
        ++request.siblings[first->entry.worker];
        ++otherRequest.siblings[second->entry.worker];
        places.taken(*first, request);
    }
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
    cr_assert(isUrgent(job), "it is late already");
}

/* There is always short work of its priority: a lasting task that ended must start again all the
   same. */
Test(WorkOrder, aLastingTaskDoesNotWaitForEver)
{
    WaitingJob shortJob;
    shortJob.remaining = milliseconds(500);
    shortJob.objective = seconds(2);
    WaitingJob lasting;
    lasting.lasting = true;
    lasting.waited = milliseconds(200);
    cr_assert(rankOf(shortJob) < rankOf(lasting));
    lasting.waited = seconds(2);
    cr_assert(rankOf(lasting) < rankOf(shortJob));
}

/* Others stand still there because of harm: a new filling task would go on harming. */
Test(Placement, aHarmedWorkerGetsNoFillingTask)
{
    const PressureModel model = learnedModel();
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", { servingRun("s", "web", 80) }));
    cr_assert(FillControl::harms(workers.at(TargetId("a"))));
    const StepSpec step = fillStep("light");
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    request.riskAllowed = 10.0;
    const Placement placement(start, model);
    cr_assert_not_null(placement.choose(workers, request));
    workers.at(TargetId("a")).fillsBlockedUntil = start + milliseconds(1);
    cr_assert_null(placement.choose(workers, request));
}

/* Large tasks come while many small ones run: the room stays in pieces that they fit into. */
Test(Placement, reservingWorkGoesToTheFullestWorkerThatHoldsIt)
{
    const PressureModel model;
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", {}));
    workers.emplace(TargetId("b"), workerWith("b", { runOf("x", 40000, "") }));
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

Test(Placement, hardLimitsHold)
{
    const PressureModel model;
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), workerWith("a", {}));
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
    step.mostPerWorker = 1;
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

Test(FillControl, thePressingRunMovesAndOthersStay)
{
    FillControl control;
    const Worker alone = workerWith("w", { servingRun("s", "web", 10) });
    const Worker besideLight =
            workerWith("w", { servingRun("s", "web", 15), fillingRun("l", "light", 6400) });
    const Worker besideHeavy =
            workerWith("w", { servingRun("s", "web", 45), fillingRun("h", "heavy", 6400) });
    for (Instant now = start - learningSpan; now < start; now += milliseconds(100)) {
        control.observe(alone, now);
        control.observe(besideLight, now);
        control.observe(besideHeavy, now);
    }
    const Worker calm =
            workerWith("w", { servingRun("s", "web", 30), fillingRun("h", "heavy", 6400) });
    cr_assert(control.decide(calm, start, DispatchSettings()).empty());
    const Worker harmed = workerWith("w",
                                     { servingRun("s", "web", 80), fillingRun("h", "heavy", 6400),
                                       fillingRun("l", "light", 6400) });
    const std::vector<FillChange> changes = control.decide(harmed, start, DispatchSettings());
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes[0].moves);
    cr_assert(changes[0].attempt.task.job == JobId("h"));
}

/* The bound on harm: no filling task works beside a task that is over its bound for that long. */
Test(FillControl, allStandStillWellBeforeTheHarmLimit)
{
    FillControl control;
    DispatchSettings settings;
    settings.harmLimit = milliseconds(4000);
    const Worker harmed =
            workerWith("w", { servingRun("s", "web", 80), fillingRun("l", "light", 6400) });
    control.decide(harmed, start, settings);
    const std::vector<FillChange> changes = control.decide(harmed, start + seconds(2), settings);
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].percent, 0U);
}

Test(RunWatch, aRunWithoutProgressIsStalled)
{
    Run run = runOf("a", 1000, "");
    run.percent = 40;
    Worker worker = workerWith("w", { run });
    worker.reportedAt = start + milliseconds(500);
    cr_assert(judgeRun(worker, run, start + milliseconds(500), seconds(1)) == RunVerdict::Sound);
    worker.reportedAt = start + milliseconds(1500);
    cr_assert(judgeRun(worker, run, start + milliseconds(1500), seconds(1)) == RunVerdict::Stalled);
    run.pacePercent = 0;
    cr_assert(judgeRun(worker, run, start + milliseconds(1500), seconds(1)) == RunVerdict::Sound);
}

Test(RunWatch, aRunThatWouldEndSoonerElsewhereIsSlow)
{
    Run run = runOf("a", 1000, "");
    run.percent = 30;
    run.progressedAt = start + milliseconds(3400);
    Worker worker = workerWith("w", { run });
    worker.reportedAt = start + milliseconds(3500);
    cr_assert(judgeRun(worker, run, start + milliseconds(3500), seconds(1)) == RunVerdict::Slow);
    run.percent = 90;
    cr_assert(judgeRun(worker, run, start + milliseconds(3500), seconds(1)) == RunVerdict::Sound);
}

Test(RunWatch, aWorkerThatFailsInARowGetsAPause)
{
    Worker worker = workerWith("w", {});
    cr_assert_eq(noteEnd(worker, true).count(), 0);
    cr_assert_eq(noteEnd(worker, true).count(), 1000);
    cr_assert_eq(noteEnd(worker, true).count(), 2000);
    cr_assert_eq(noteEnd(worker, false).count(), 0);
}
