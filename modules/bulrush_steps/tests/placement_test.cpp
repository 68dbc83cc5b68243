#include "PolicyFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

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

Test(UnplacedStep, rulesOutOnlyStepsThatAskForAsMuchOrMore)
{
    const StepSpec heavy = makeFillingStep("heavy");
    const StepSpec light = makeFillingStep("light");
    const ServiceId service("review");
    const UnplacedStep unplaced { &heavy, 0.5, service };
    cr_assert(unplaced.rulesOut(heavy, service, 0.5));
    cr_assert_not(unplaced.rulesOut(light, service, 0.5));
    cr_assert_not(unplaced.rulesOut(heavy, service, 0.9), "more risk is allowed");
    cr_assert_not(unplaced.rulesOut(heavy, ServiceId("other"), 0.5));
    StepSpec reserving = heavy;
    reserving.fills = false;
    cr_assert_not(unplaced.rulesOut(reserving, service, 0.5));
    StepSpec smaller = heavy;
    smaller.size.memoryMb /= 2;
    cr_assert_not(unplaced.rulesOut(smaller, service, 0.5));
    const UnplacedStep noRoom { &reserving, 0.0, service };
    reserving.image = "other";
    cr_assert(noRoom.rulesOut(reserving, service, 0.0));
}

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

/* Room that was kept for one task went to another. */
Test(Placement, reservedRoomGoesToItsStepAndToWhatFitsBesideIt)
{
    const PressureModel model;
    std::map<TargetId, Worker> workers;
    workers.emplace(TargetId("a"), makeWorker("a", { makeRun("x", 49000, "") }));
    Worker &worker = workers.at(TargetId("a"));
    const StepRef large { JobId("large"), 0, 0 };
    worker.reservation = StartReservation { large, { 13000, 26000, 0 }, start + hours(1) };
    StepSpec step;
    step.size = { 2000, 1000, 0 };
    TaskRequest request;
    request.step = &step;
    request.service = ServiceId("review");
    const Placement placement(start, model);
    const auto chosen = [&] { return placement.choose(workers, request) != nullptr; };
    cr_expect(chosen(), "it fits beside");
    step.size.cpuMilli = 2001;
    cr_expect_not(chosen(), "processors");
    step.size = { 1000, 230000, 0 };
    cr_expect_not(chosen(), "memory");
    request.ref = large;
    step.size = { 13000, 26000, 0 };
    cr_expect(chosen(), "the room is kept for it");
    step = makeFillingStep("light");
    request.ref = {};
    request.riskAllowed = 1.0;
    cr_expect(chosen(), "it reserves no processors");
}
