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
