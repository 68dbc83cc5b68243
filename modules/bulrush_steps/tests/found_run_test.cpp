#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

const TaskRef task { JobId("a"), 0, 0, 0 };

/** An owner whose only task runs on w1, beside w2, which has no run. */
class RunningTask : public DispatcherFixture
{
public:
    explicit RunningTask(bool speculative = false)
    {
        this->begin({});
        this->listWorker("w1");
        this->runFor(milliseconds(300));
        StepJob job = makeJob("a", 1);
        job.steps[0].allowsSpeculation = speculative;
        job.steps[0].estimate = seconds(60);
        this->accept(job);
        this->runFor(milliseconds(300));
        cr_assert_eq(this->startsOn("w1"), 1U);
        this->listWorker("w2");
        this->runFor(milliseconds(300));
    }

    /** Has w2 list a run of the task that the owner did not start there. */
    void findRunOnOtherWorker(std::uint64_t attempt)
    {
        const AttemptRef found { task, attempt };
        this->worker("w2").running[found] = { found, "", 10, 0.0 };
        this->runFor(seconds(1));
    }

    std::size_t stopsOn(const char *name) { return this->worker(name).stopped.size(); }
};

} // namespace

/* A start that was given up is carried out seconds late: its run was kept beside the later one. */
Test(FoundRun, anEarlierRunThatIsFoundGivesWayToTheOneUnderWay)
{
    RunningTask fixture;
    fixture.findRunOnOtherWorker(2001);
    cr_assert_eq(fixture.stopsOn("w2"), 1U);
    cr_assert_eq(fixture.stopsOn("w1"), 0U);
    cr_assert_eq(fixture.workers.aliveRuns(task), 1U);
}

/* As above, with the later run found second. */
Test(FoundRun, theRunUnderWayGivesWayToALaterOneThatIsFound)
{
    RunningTask fixture;
    fixture.findRunOnOtherWorker(3999);
    cr_assert_eq(fixture.stopsOn("w1"), 1U);
    cr_assert_eq(fixture.stopsOn("w2"), 0U);
    cr_assert_eq(fixture.workers.aliveRuns(task), 1U);
}

/* Copies of a speculative task run side by side. */
Test(FoundRun, aSpeculativeTaskKeepsBothRuns)
{
    RunningTask fixture(true);
    fixture.findRunOnOtherWorker(2001);
    cr_assert_eq(fixture.stopsOn("w1") + fixture.stopsOn("w2"), 0U);
    cr_assert_eq(fixture.workers.aliveRuns(task), 2U);
}
