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
    const StepSpec step;
    StepTask task;
    for (std::uint64_t attempt = 1; attempt < 4; ++attempt) {
        cr_expect(CrashSuspects::countCrash(step, task, attempt, RunAge::Young));
        cr_expect(!CrashSuspects::countCrash(step, task, attempt, RunAge::Young));
        cr_expect(!CrashSuspects::mustGiveUp(step, task, false));
    }
    CrashSuspects::countCrash(step, task, 4, RunAge::Young);
    cr_expect(CrashSuspects::mustGiveUp(step, task, false));
}

Test(CrashSuspects, twoCrashesAreEnoughOnlyForATaskThatWasStartedApart)
{
    const StepSpec step;
    StepTask task;
    CrashSuspects::countCrash(step, task, 1, RunAge::Young);
    CrashSuspects::countCrash(step, task, 2, RunAge::Young);
    cr_expect(!CrashSuspects::mustGiveUp(step, task, false));
    cr_expect(CrashSuspects::mustGiveUp(step, task, true));
}

/* A new owner finds a run, and its worker crashes at once. */
Test(CrashSuspects, aCrashUnderARunOfUnknownAgeNeitherAddsToTheSuspicionNorTakesItBack)
{
    const StepSpec step;
    StepTask task;
    CrashSuspects::countCrash(step, task, 1, RunAge::Young);
    CrashSuspects::countCrash(step, task, 2, RunAge::Unknown);
    cr_expect_eq(task.youngCrashes.size(), 1U);
    CrashSuspects::countCrash(step, task, 3, RunAge::Lasted);
    cr_expect(task.youngCrashes.empty());
    cr_expect_eq(task.crashedAttempts.size(), 3U);
}
