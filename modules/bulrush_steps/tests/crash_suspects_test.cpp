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
    cr_expect(!CrashSuspects::pointsAtOther(worker, makeAttempt("b")));
    CrashSuspects::setApart(worker, makeAttempt("a"), start);
    cr_expect(CrashSuspects::pointsAtOther(worker, makeAttempt("b")));
    cr_expect(!CrashSuspects::pointsAtOther(worker, makeAttempt("a")));
    worker.reportedAt = start + seconds(1);
    cr_expect(!CrashSuspects::pointsAtOther(worker, makeAttempt("b")));
}

Test(CrashSuspects, crashesUnderATaskThatWasNotStartedApartPointAtItOnlyAfterFour)
{
    const StepSpec step;
    StepTask task;
    for (std::uint64_t attempt = 1; attempt < 4; ++attempt) {
        cr_expect(CrashSuspects::countCrash(step, task, attempt, milliseconds(100)));
        cr_expect(!CrashSuspects::countCrash(step, task, attempt, milliseconds(100)));
        cr_expect(!CrashSuspects::isToBlame(step, task, false));
    }
    CrashSuspects::countCrash(step, task, 4, milliseconds(100));
    cr_expect(CrashSuspects::isToBlame(step, task, false));
}

Test(CrashSuspects, aTaskIsGivenUpAfterTwoOnlyIfTheAttemptThatCrashedWasStartedApart)
{
    const StepSpec step;
    StepTask task;
    CrashSuspects::countCrash(step, task, 1, milliseconds(100));
    CrashSuspects::countCrash(step, task, 2, milliseconds(100));
    // A third attempt was started apart before the crash under the second became known.
    task.startedApart = true;
    cr_expect(!CrashSuspects::isToBlame(step, task, false));
    cr_expect(CrashSuspects::isToBlame(step, task, true));
}
