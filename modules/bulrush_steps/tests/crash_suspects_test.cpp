#include "PolicyFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

AttemptRef makeAttempt(const char *job)
{
    return { { JobId(job), 0, 0, 0 }, 1 };
}

Run makeRun(const char *job, Instant startedAt)
{
    Run run;
    run.attempt = makeAttempt(job);
    run.phase = RunPhase::Running;
    run.processUnknown = false;
    run.startSentAt = startedAt;
    return run;
}

/** Returns what the crash of a worker says three seconds after the run was started. */
CrashSign signOf(const Worker &worker, const Run &run)
{
    return CrashSuspects::signOf(worker, { run }, run, run.startSentAt + seconds(3));
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
        cr_expect(CrashSuspects::countCrash(task, attempt, CrashSign::Suspicion));
        cr_expect(!CrashSuspects::countCrash(task, attempt, CrashSign::Evidence));
        cr_expect(!CrashSuspects::mustGiveUp(task));
    }
    CrashSuspects::countCrash(task, 4, CrashSign::Suspicion);
    cr_expect(CrashSuspects::mustGiveUp(task));
}

Test(CrashSuspects, twoCrashesInARowAreEnoughOnlyIfTheTaskWasAloneAtEach)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, CrashSign::Evidence);
    CrashSuspects::countCrash(task, 2, CrashSign::Suspicion);
    cr_expect(!CrashSuspects::mustGiveUp(task));
    CrashSuspects::countCrash(task, 3, CrashSign::Evidence);
    cr_expect(CrashSuspects::mustGiveUp(task));
}

/* On a full service, a suspect is started beside others again and again. */
Test(CrashSuspects, threeCrashesInARowAreEnoughForATaskThatWasAloneAtOneOfThem)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, CrashSign::Suspicion);
    CrashSuspects::countCrash(task, 2, CrashSign::Suspicion);
    cr_expect(!CrashSuspects::mustGiveUp(task));
    CrashSuspects::countCrash(task, 3, CrashSign::Evidence);
    cr_expect(CrashSuspects::mustGiveUp(task));
}

/* A new owner finds a run, and its worker crashes at once. */
Test(CrashSuspects, aCrashThatSaysNothingNeitherAddsToTheSuspicionNorTakesItBack)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, CrashSign::Evidence);
    cr_expect(!CrashSuspects::countCrash(task, 2, CrashSign::None));
    cr_expect_eq(task.youngCrashes.size(), 1U);
    cr_expect_eq(task.crashedAttempts.size(), 1U);
}

Test(CrashSuspects, aRunThatLastsClearsTheCrashesBeforeIt)
{
    StepTask task;
    CrashSuspects::countCrash(task, 1, CrashSign::Evidence);
    CrashSuspects::countCrash(task, 2, CrashSign::Suspicion);
    cr_expect(CrashSuspects::clearSuspicion(task));
    cr_expect(task.youngCrashes.empty());
    cr_expect(task.crashedAttempts.empty());
    cr_expect(!CrashSuspects::clearSuspicion(task));
}

/* Each of them may have been on its worker for longer, or not at all. */
Test(CrashSuspects, aCrashSaysNothingAboutRunsThatAreNotKnownToHaveJustBegun)
{
    const Instant start = Instant() + seconds(100);
    Worker worker;
    worker.silentSince = start + milliseconds(100);
    Run run = makeRun("a", start);
    cr_expect(signOf(worker, run) == CrashSign::Evidence);
    for (const RunPhase phase : { RunPhase::Starting, RunPhase::Unconfirmed }) {
        run.phase = phase;
        cr_expect(signOf(worker, run) == CrashSign::None);
    }
    run = makeRun("a", start);
    run.processUnknown = true;
    cr_expect(signOf(worker, run) == CrashSign::None);
    run = makeRun("a", start);
    run.found = true;
    cr_expect(signOf(worker, run) == CrashSign::None);
    run = makeRun("a", start);
    worker.silentSince = start + milliseconds(250);
    cr_expect(signOf(worker, run) == CrashSign::None);
    worker.silentSince.reset();
    cr_expect(signOf(worker, run) == CrashSign::None);
}

/* A worker with an old start that got no answer may begin that run beside the suspect. */
Test(CrashSuspects, aStartWithoutAnAnswerIsTakenForARunThatHasJustBegun)
{
    const Instant now = Instant() + seconds(100);
    Worker worker;
    worker.addRun(makeRun("a", now - seconds(2)));
    cr_expect(!CrashSuspects::hasYoungRun(worker, now));
    worker.runs.begin()->second.phase = RunPhase::Unconfirmed;
    cr_expect(CrashSuspects::hasYoungRun(worker, now));
    worker.clearRuns();
    worker.addRun(makeRun("a", now - milliseconds(200)));
    cr_expect(CrashSuspects::hasYoungRun(worker, now));
}

/* Any of the neighbours may be what the worker crashed under. */
Test(CrashSuspects, aCrashIsNoEvidenceAgainstARunBesideOneOfAnotherJobThatMayHaveJustBegun)
{
    const Instant start = Instant() + seconds(100);
    Worker worker;
    worker.silentSince = start + milliseconds(100);
    const Run run = makeRun("a", start);
    Run other = makeRun("b", start - seconds(5));
    worker.addRun(other);
    cr_expect(signOf(worker, run) == CrashSign::Evidence);
    worker.runs.begin()->second.phase = RunPhase::Unconfirmed;
    cr_expect(signOf(worker, run) == CrashSign::Suspicion);
    worker.clearRuns();
    other.startSentAt = start;
    worker.addRun(other);
    cr_expect(signOf(worker, run) == CrashSign::Suspicion);
    worker.clearRuns();
    cr_expect(CrashSuspects::signOf(worker, { run, other }, run, start + seconds(3))
              == CrashSign::Suspicion);
    cr_expect(CrashSuspects::signOf(worker, { run, makeRun("a", start) }, run, start + seconds(3))
              == CrashSign::Evidence);
}

/* Were there no limit, a suspect would wait for ever on a service whose workers all start tasks. */
Test(CrashSuspects, aSuspectWaitsForALimitedTimeToBeStartedApart)
{
    const Instant start = Instant() + seconds(100);
    StepTask task;
    cr_expect(!CrashSuspects::requireApart(task, start));
    CrashSuspects::countCrash(task, 1, CrashSign::Suspicion);
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
