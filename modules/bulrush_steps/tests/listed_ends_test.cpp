#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <array>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** The numbers of a job's tasks and of the ended runs that a worker lists at a time. */
struct Sizes
{
    std::uint32_t tasks = 6;
    std::size_t listedEnds = 2;
};

constexpr std::array allSizes { Sizes {},           Sizes { 499, 500 },  Sizes { 500, 500 },
                                Sizes { 501, 500 }, Sizes { 1000, 500 }, Sizes { 1001, 500 } };

StepJob makeSmallTasks(std::uint32_t tasks)
{
    StepJob job = makeJob("a", tasks);
    job.steps[0].size = { 50, 16, 0 };
    job.steps[0].estimate = seconds(20);
    return job;
}

/** An owner with one worker that lists few ended runs at a time. It runs all tasks of a job, and
    the store is down when they succeed. */
class OwnerOfUnlistedEnds : public DispatcherFixture
{
public:
    explicit OwnerOfUnlistedEnds(const Sizes &sizes = {})
    {
        this->worker("w1").maxListedEnds = sizes.listedEnds;
        this->begin({});
        this->listWorker("w1");
        this->runFor(milliseconds(100));
        this->accept(makeSmallTasks(sizes.tasks));
        this->runFor(seconds(3));
        this->log.up = false;
        const std::vector<FakeWorkers::SentStart> started = this->workers.starts;
        for (const FakeWorkers::SentStart &each : started) {
            this->workers.endRun(each.worker, each.attempt, EndKind::Succeeded);
        }
    }
};

} // namespace

/* A worker had more ends that could not be stored than one answer lists. The runs that it listed
   neither as running nor as ended counted as lost and were started again. */
Test(ListedEnds, aRunWhoseEndIsNotListedYetIsNotStartedAgain)
{
    for (const Sizes &sizes : allSizes) {
        OwnerOfUnlistedEnds owner(sizes);
        cr_assert_eq(owner.workers.starts.size(), sizes.tasks);
        owner.runFor(seconds(3));
        cr_expect_eq(owner.workers.starts.size(), sizes.tasks);
        cr_expect(owner.worker("w1").stopped.empty(), "an ended run was treated as stalled");
        owner.log.up = true;
        owner.runFor(seconds(2));
        cr_expect_eq(owner.workers.starts.size(), sizes.tasks);
        cr_expect_eq(owner.worker("w1").acknowledged, sizes.tasks);
        cr_expect(owner.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
    }
}

/* A run that may have ended before its worker crashed counted as evidence against its task. */
Test(ListedEnds, aCrashIsNotPutDownToARunThatMayHaveEndedBefore)
{
    OwnerOfUnlistedEnds owner;
    owner.runFor(seconds(1));
    owner.workers.restart(TargetId("w1"));
    owner.runFor(seconds(1));
    cr_expect(owner.decisions.lines[Event::TaskCrashed].empty());
    const Sizes sizes;
    cr_expect_eq(owner.workers.starts.size(), 2 * sizes.tasks - sizes.listedEnds);
}

/* A new owner took the first answer of a worker for all that it knows of former owners, and started
   tasks whose ends were not listed yet. */
Test(ListedEnds, aNewOwnerWaitsForTheEndsThatAWorkerHasNotListedYet)
{
    for (const Sizes &sizes : allSizes) {
        DispatcherFixture fixture;
        const StepJob job = makeSmallTasks(sizes.tasks);
        FakeWorker &worker = fixture.worker("w1");
        worker.maxListedEnds = sizes.listedEnds;
        for (std::uint32_t index = 0; index < sizes.tasks; ++index) {
            const AttemptRef attempt { { job.id, 0, 0, index }, 1 };
            fixture.workers.endRun(TargetId("w1"), attempt, EndKind::Succeeded);
        }
        fixture.begin(makeJobTable(job, { TargetId("w1") }, fixture.clock));
        fixture.listWorker("w1");
        fixture.runFor(seconds(2));
        cr_expect(fixture.workers.starts.empty());
        cr_expect(fixture.dispatcher.stateOf(job.id) == JobState::Succeeded);
    }
}
