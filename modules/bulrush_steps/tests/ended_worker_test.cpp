#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

WorkerProcesses running(const std::set<TargetId> &workers)
{
    return { workers, 1 };
}

const TargetId first("w1");
const TargetId second("w2");

/** Begins as an owner that finds a task on the first worker, which then answers no more. */
void loseFirstWorker(DispatcherFixture &fixture)
{
    fixture.begin({});
    fixture.processes.list = running({ first, second });
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(200));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(200));
    fixture.worker("w1").silent = true;
}

} // namespace

Test(EndedWorker, tasksOfAWorkerWhoseProcessHasEndedDoNotWaitForTheirLease)
{
    DispatcherFixture fixture;
    loseFirstWorker(fixture);
    fixture.processes.list = running({ second });
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* The worker is cut off from the nodes and runs on. */
Test(EndedWorker, tasksOfASilentWorkerWhoseProcessRunsWaitForTheirLease)
{
    DispatcherFixture fixture;
    loseFirstWorker(fixture);
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.startsOn("w2"), 0U);
    cr_assert_gt(fixture.processes.reads, 0);
}

/* An entry is missed once, because others were removed while the pages were read. */
Test(EndedWorker, oneReadingWithoutAWorkerIsNoProof)
{
    DispatcherFixture fixture;
    loseFirstWorker(fixture);
    const int before = fixture.processes.reads;
    fixture.processes.list = running({ second });
    while (fixture.processes.reads < before + 1) {
        fixture.runFor(milliseconds(10));
    }
    fixture.processes.list = running({ first, second });
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.startsOn("w2"), 0U);
}

Test(EndedWorker, aListThatCannotBeReadProvesNothing)
{
    DispatcherFixture fixture;
    loseFirstWorker(fixture);
    fixture.processes.list.reset();
    fixture.runFor(seconds(3));
    cr_assert_eq(fixture.startsOn("w2"), 0U);
}

/* A worker is lost with its owner. Found by the users' test bench: lasting tasks did not run for
   more than 12 s. */
Test(EndedWorker, aNewOwnerDoesNotWaitForAWorkerWhoseProcessHasEnded)
{
    DispatcherFixture fixture;
    fixture.worker("w1").silent = true;
    fixture.processes.list = running({ second });
    fixture.begin(makeJobTable(makeJob("a", 1), { first, second }, fixture.clock));
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

Test(EndedWorker, theListIsNotReadWhileAllWorkersAnswer)
{
    DispatcherFixture fixture;
    fixture.begin(makeJobTable(makeJob("a", 1), { first, second }, fixture.clock));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.processes.reads, 0);
}

/* The start that is kept for its lease keeps the worker among the silent ones. */
Test(EndedWorker, aWorkerThatHasEndedIsReportedAndAskedForOnce)
{
    DispatcherFixture fixture;
    fixture.workers.onStart = [&fixture] { fixture.worker("w1").silent = true; };
    fixture.begin({});
    fixture.processes.list = running({ first });
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(200));
    fixture.accept(makeJob("a", 1));
    fixture.runFor(milliseconds(100));
    fixture.processes.list = running({ second });
    fixture.runFor(milliseconds(1500));
    const int reads = fixture.processes.reads;
    fixture.runFor(milliseconds(1500));
    cr_assert_eq(fixture.processes.reads, reads);
}

/* Workers fall silent one after the other, each of which asks for a reading soon. */
Test(EndedWorker, readingsStayWithinTheirShareOfTheAcceptedCalls)
{
    ManualClock clock;
    FakeProcesses processes;
    processes.list = running({});
    struct Listener : EndedWorkerFinder::Listener
    {
        void workerEnded(const TargetId & /*worker*/) override { }
        bool isCredible(const WorkerProcesses & /*processes*/) const override { return true; }
    } listener;
    constexpr double callsPerSecond = 2.0;
    EndedWorkerFinder finder(clock, &processes, callsPerSecond, listener);
    std::set<TargetId> silent;
    for (int second = 0; second < 20; ++second) {
        silent.insert(TargetId("w" + std::to_string(second)));
        for (int tick = 0; tick < 100; ++tick) {
            clock.advance(milliseconds(10));
            finder.tick(silent);
            processes.deliver();
        }
    }
    cr_assert_leq(processes.reads, 11, "%d readings", processes.reads);
}

/* Entries are missed now and then, never twice in a row. */
Test(EndedWorker, readingsThatMissAWorkerCountOnlyInARow)
{
    DispatcherFixture fixture;
    loseFirstWorker(fixture);
    for (int round = 0; round < 6; ++round) {
        fixture.processes.list = round % 2 == 0 ? running({ second }) : running({ first, second });
        const int before = fixture.processes.reads;
        while (fixture.processes.reads == before) {
            fixture.runFor(milliseconds(10));
        }
    }
    cr_assert_eq(fixture.startsOn("w2"), 0U);
}
