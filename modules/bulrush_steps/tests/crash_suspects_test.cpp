#include "PolicyFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

AttemptRef makeAttempt(const char *job)
{
    return { { JobId(job), 0, 0, 0 }, 1 };
}

} // namespace

Test(CrashSuspects, aWorkerStaysSetApartUntilAReportShowsThatTheSuspectHasLasted)
{
    const Instant start = Instant() + seconds(100);
    Worker worker;
    worker.reportedAt = start;
    CrashSuspects::setApart(worker, makeAttempt("a"), start);
    cr_expect(CrashSuspects::isSetApart(worker));
    worker.reportedAt = start + milliseconds(400);
    cr_expect(CrashSuspects::isSetApart(worker));
    worker.reportedAt = start + milliseconds(600);
    cr_expect(!CrashSuspects::isSetApart(worker));
}

Test(CrashSuspects, aCrashUnderASuspectIsNotCountedForTheTasksBesideIt)
{
    const Instant start = Instant() + seconds(100);
    Worker worker;
    worker.reportedAt = start;
    cr_expect(!CrashSuspects::crashPointsAtOther(worker, makeAttempt("b")));
    CrashSuspects::setApart(worker, makeAttempt("a"), start);
    cr_expect(CrashSuspects::crashPointsAtOther(worker, makeAttempt("b")));
    cr_expect(!CrashSuspects::crashPointsAtOther(worker, makeAttempt("a")));
    worker.reportedAt = start + seconds(1);
    cr_expect(!CrashSuspects::crashPointsAtOther(worker, makeAttempt("b")));
}

Test(CrashSuspects, crashesUnderATaskThatWasNotStartedApartPointAtItOnlyAfterFour)
{
    StepTask task;
    for (std::uint64_t attempt = 1; attempt < 4; ++attempt) {
        cr_expect(CrashSuspects::countCrash(task, attempt, RunAge::Young));
        cr_expect(!CrashSuspects::countCrash(task, attempt, RunAge::Young));
        cr_expect(!CrashSuspects::mustGiveUp(task, false));
    }
    CrashSuspects::countCrash(task, 4, RunAge::Young);
    cr_expect(CrashSuspects::mustGiveUp(task, false));
}

Test(CrashSuspects, twoCrashesAreEnoughOnlyForATaskThatWasStartedApart)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, RunAge::Young);
    CrashSuspects::countCrash(task, 2, RunAge::Young);
    cr_expect(!CrashSuspects::mustGiveUp(task, false));
    cr_expect(CrashSuspects::mustGiveUp(task, true));
}

/* A new owner finds a run, and its worker crashes at once. */
Test(CrashSuspects, aCrashUnderARunOfUnknownAgeNeitherAddsToTheSuspicionNorTakesItBack)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, RunAge::Young);
    CrashSuspects::countCrash(task, 2, RunAge::Unknown);
    cr_expect_eq(task.youngCrashes.size(), 1U);
    cr_expect_eq(task.crashedAttempts.size(), 2U);
}

Test(CrashSuspects, aLongRunOfALongRunningTaskClearsTheCrashesBeforeIt)
{
    StepSpec step;
    step.runsIndefinitely = true;
    StepTask task;
    CrashSuspects::countCrash(task, 1, RunAge::Young);
    CrashSuspects::clearSuspicion(step, task, seconds(2));
    cr_expect(task.youngCrashes.empty());
    cr_expect_eq(task.crashedAttempts.size(), 1U);
    CrashSuspects::clearSuspicion(step, task, seconds(4));
    cr_expect(task.crashedAttempts.empty());
}

/* Were there no limit, a suspect would wait for ever on a service whose workers all start tasks. */
Test(CrashSuspects, aSuspectWaitsForALimitedTimeToBeStartedApart)
{
    const Instant start = Instant() + seconds(100);
    StepTask task;
    cr_expect(!CrashSuspects::requireApart(task, start));
    CrashSuspects::countCrash(task, 1, RunAge::Young);
    cr_expect(CrashSuspects::requireApart(task, start));
    cr_expect(CrashSuspects::requireApart(task, start + seconds(1)));
    cr_expect(!CrashSuspects::requireApart(task, start + seconds(2)));
}

Test(CrashSuspects, aSuspectIsPlacedOnTheEmptiestWorkerWithoutYoungRuns)
{
    const Instant now = Instant() + seconds(100);
    PressureModel pressures;
    const Placement placement(now, pressures);
    StepSpec step;
    step.size = { 1000, 1000, 0 };
    TaskRequest request;
    request.step = &step;
    std::map<TargetId, Worker> workers;
    for (const char *name : { "w1", "w2", "w3", "w4" }) {
        Worker &worker = workers[TargetId(name)];
        worker.entry.worker = TargetId(name);
        worker.entry.capacity = { 64000, 256000, 0 };
        worker.confirmed = true;
        worker.onRoster = true;
        worker.reportedAt = now;
    }
    const auto addRun = [&workers](const char *name, std::int64_t cpuMilli, Instant startedAt) {
        Run run;
        run.attempt = makeAttempt(name);
        run.size = { cpuMilli, 0, 0 };
        run.phase = RunPhase::Running;
        run.startSentAt = startedAt;
        workers[TargetId(name)].addRun(run);
    };
    addRun("w1", 100, now - milliseconds(100));
    addRun("w2", 20000, now - seconds(5));
    addRun("w3", 30000, now - seconds(5));
    CrashSuspects::setApart(workers[TargetId("w4")], makeAttempt("x"), now);
    request.apart = true;
    cr_assert_eq(placement.choose(workers, request)->entry.worker.name(), "w2");
    request.apart = false;
    cr_assert_eq(placement.choose(workers, request)->entry.worker.name(), "w3");
}
