#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Four tasks of this size fill a worker. */
constexpr std::int64_t quarterOfAWorker = 16000;

StepJob makeWatch(const char *id, std::uint32_t tasks, std::int64_t cpuMilli = quarterOfAWorker)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].runsIndefinitely = true;
    job.steps[0].size.cpuMilli = cpuMilli;
    return job;
}

/** Workers on which long-running runs hold all processors. */
class HeldService
{
public:
    explicit HeldService(std::uint32_t workers, StepJob holder)
    {
        this->fixture.begin({});
        for (std::uint32_t number = 1; number <= workers; ++number) {
            const std::string name = "w" + std::to_string(number);
            this->fixture.listWorker(name.c_str());
            this->fixture.worker(name.c_str()).highestPercent = 100;
        }
        this->fixture.runFor(milliseconds(100));
        this->submit(std::move(holder));
        this->fixture.runFor(seconds(15));
    }

    void submit(StepJob job)
    {
        job.acceptedAt = this->fixture.clock.calendarMillis();
        this->fixture.accept(job);
    }

    /** Returns how many runs of a job the workers have. */
    std::size_t runsOf(const char *job) const
    {
        std::size_t runs = 0;
        for (const auto &[id, worker] : this->fixture.workers.workers) {
            for (const auto &[attempt, run] : worker.running) {
                runs += attempt.task.job == JobId(job) ? 1 : 0;
            }
        }
        return runs;
    }

    /** Returns how many runs the workers were told to stop. */
    std::size_t stops() const
    {
        std::size_t stops = 0;
        for (const auto &[id, worker] : this->fixture.workers.workers) {
            stops += worker.stopped.size();
        }
        return stops;
    }

    DispatcherFixture fixture;
};

} // namespace

/* Room was expected only from runs that end by themselves, so the task waited for good. */
Test(Preemption, aLongRunningTaskGetsARunWhereOnlyLongRunningRunsHoldTheRoom)
{
    HeldService service(3, makeWatch("holder", 12));
    cr_assert_eq(service.runsOf("holder"), 12U);
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
    cr_assert_eq(service.stops(), 1U);
}

/* Of tasks that do not all fit, the same ones waited for good. */
Test(Preemption, longRunningTasksThatDoNotAllFitTakeTurns)
{
    HeldService service(1, makeWatch("watch", 5));
    std::map<TaskRef, Instant> lastSeen;
    Duration longest {};
    constexpr seconds span { 60 };
    for (milliseconds passed { 0 }; passed < span; passed += milliseconds(100)) {
        service.fixture.runFor(milliseconds(100));
        const Instant now = service.fixture.clock.now();
        for (const auto &[attempt, run] : service.fixture.worker("w1").running) {
            const auto [seen, added] = lastSeen.try_emplace(attempt.task, now);
            longest = std::max(longest, now - seen->second);
            seen->second = now;
        }
    }
    cr_assert_eq(lastSeen.size(), 5U, "%zu of 5 tasks had a run", lastSeen.size());
    cr_assert_leq(longest, Duration(maxRestartWait));
}

/* Tasks that stop each other at once would do nothing but start. */
Test(Preemption, aRunKeepsItsRoomForAWhile)
{
    HeldService service(1, makeWatch("watch", 8));
    const std::size_t before = service.stops();
    service.fixture.runFor(seconds(30));
    const std::size_t stops = service.stops() - before;
    cr_assert_gt(stops, 0U);
    cr_assert_leq(stops, 24U, "%zu runs were stopped on four places in 30 s", stops);
}

/* While room comes free by itself, a stop would only cost. */
Test(Preemption, noRunIsStoppedForATaskThatFits)
{
    HeldService service(2, makeWatch("holder", 7));
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(2 * maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
    cr_assert_eq(service.stops(), 0U);
}

/* A smaller task that waits took the room for which a run had been stopped. */
Test(Preemption, theRoomOfAStoppedRunGoesToTheTaskThatWaitedLongest)
{
    HeldService service(2, makeWatch("holder", 8));
    service.submit(makeWatch("late", 1));
    for (int number = 0; number < 20; ++number) {
        StepJob small = makeJob(("short" + std::to_string(number)).c_str(), 4);
        small.slackFactor = 1000.0;
        service.submit(small);
    }
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
    cr_assert_eq(service.stops(), 1U);
}

/* A job limits how many of its tasks may be away, and lost one to a stop beside another. */
Test(Preemption, noTaskOfAStepThatLimitsHowManyAreAwayIsStopped)
{
    StepJob holder = makeWatch("holder", 4);
    holder.steps[0].maxConcurrentDisruptions = 1;
    HeldService service(1, holder);
    service.submit(makeWatch("late", 3));
    service.fixture.runFor(2 * maxRestartWait);
    cr_assert_eq(service.stops(), 0U);
}

/* The members of a gang work only together, so the stop of one costs all. */
Test(Preemption, noMemberOfAGangIsStopped)
{
    StepJob holder = makeWatch("holder", 4);
    holder.steps[0].gang = true;
    HeldService service(1, holder);
    cr_assert_eq(service.runsOf("holder"), 4U);
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(2 * maxRestartWait);
    cr_assert_eq(service.stops(), 0U);
}

/* A paused filling run kept its memory for good. */
Test(Preemption, aPausedFillingRunGivesItsMemoryToALongRunningTask)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.worker("w1").highestPercent = 100;
    fixture.runFor(milliseconds(100));
    StepJob serving = makeWatch("serving", 1, 10000);
    serving.steps[0].tailTarget = milliseconds(50);
    serving.steps[0].image = "web";
    fixture.accept(serving);
    StepJob filling = makeJob("filling", 1);
    filling.steps[0].fills = true;
    filling.steps[0].image = "batch";
    filling.steps[0].size = { 20000, 150000, 0 };
    filling.acceptedAt = fixture.clock.calendarMillis();
    fixture.runFor(milliseconds(500));
    fixture.accept(filling);
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.worker("w1").running.size(), 2U);
    constexpr double tailAboveTarget = 200.0;
    for (auto &[attempt, run] : fixture.worker("w1").running) {
        run.load = attempt.task.job == JobId("serving") ? tailAboveTarget : 0.0;
    }
    fixture.runFor(seconds(3));
    StepJob late = makeWatch("late", 1);
    late.steps[0].size.memoryMb = 200000;
    fixture.accept(late);
    fixture.runFor(maxRestartWait);
    std::set<JobId> running;
    for (const auto &[attempt, run] : fixture.worker("w1").running) {
        running.insert(attempt.task.job);
    }
    cr_assert(running.contains(JobId("late")));
    cr_assert(running.contains(JobId("serving")));
}

/* While the store is down the task could not start in the place of the stopped run. */
Test(Preemption, noRunIsStoppedWhileTheStoreTakesNoRecord)
{
    HeldService service(1, makeWatch("holder", 4));
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(seconds(2));
    service.fixture.log.up = false;
    WorkerEntry entry = makeWorkerEntry("w2");
    entry.capacity.cpuMilli = 4000;
    service.fixture.dispatcher.workerListed(entry);
    service.fixture.runFor(2 * maxRestartWait);
    cr_assert_eq(service.stops(), 0U);
    service.fixture.log.up = true;
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
}

/* Of two runs the one that had just begun was stopped. */
Test(Preemption, theRunIsStoppedThatHasRunLongest)
{
    HeldService service(2, makeWatch("first", 4));
    service.submit(makeWatch("second", 4));
    service.fixture.runFor(seconds(13));
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
    cr_assert_eq(service.runsOf("first"), 3U);
    cr_assert_eq(service.runsOf("second"), 4U);
}

/* A new owner stopped runs that had just begun, since their starts were not its own. */
Test(Preemption, aNewOwnerStopsNoRunBeforeItHasSeenItForATurn)
{
    HeldService service(1, makeWatch("holder", 4));
    const StepJob late = makeWatch("late", 1);
    StepJobTable table =
            makeJobTable(makeWatch("holder", 4), { TargetId("w1") }, service.fixture.clock, 3);
    service.fixture.dispatcher.end();
    service.fixture.begin(std::move(table), 4);
    service.fixture.listWorker("w1");
    service.fixture.runFor(milliseconds(100));
    service.submit(late);
    service.fixture.runFor(milliseconds(4500));
    cr_assert_eq(service.stops(), 0U);
    service.fixture.runFor(milliseconds(1500));
    cr_assert_eq(service.runsOf("late"), 1U);
}

/* Searches for a task that no worker can run left none for the others. */
Test(Preemption, tasksThatCannotRunDoNotKeepOthersFromTheirRoom)
{
    HeldService service(2, makeWatch("holder", 8));
    for (int number = 0; number < 6; ++number) {
        StepJob impossible = makeWatch(("impossible" + std::to_string(number)).c_str(), 1);
        impossible.steps[0].requiredLabel = "none";
        service.submit(impossible);
    }
    service.fixture.runFor(milliseconds(500));
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
}

/* A run was stopped just before another one ended by itself. */
Test(Preemption, noRunIsStoppedWhereRoomComesSoon)
{
    HeldService service(1, makeWatch("holder", 3));
    StepJob ending = makeJob("ending", 1);
    ending.steps[0].size.cpuMilli = quarterOfAWorker;
    ending.steps[0].estimate = milliseconds(3800);
    service.submit(ending);
    service.fixture.runFor(milliseconds(100));
    cr_assert_eq(service.runsOf("ending"), 1U);
    const AttemptRef attempt = service.fixture.workers.starts.back().attempt;
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(milliseconds(3600));
    service.fixture.workers.endRun(TargetId("w1"), attempt, EndKind::Succeeded);
    service.fixture.runFor(seconds(2));
    cr_assert_eq(service.runsOf("late"), 1U);
    cr_assert_eq(service.stops(), 0U);
}

/* Stops for many tasks that do not fit made more tasks wait too long than they served. */
Test(Preemption, noRunIsStoppedWhereTurnsDoNotComeRoundInTime)
{
    HeldService service(1, makeWatch("watch", 40));
    cr_assert_eq(service.runsOf("watch"), 4U);
    const std::size_t before = service.stops();
    service.fixture.runFor(seconds(30));
    cr_assert_eq(service.stops(), before, "%zu runs were stopped", service.stops() - before);
}

/* Tasks that no worker can run were counted among those that wait for a turn. */
Test(Preemption, tasksThatCannotRunDoNotKeepTurnsFromOthers)
{
    HeldService service(1, makeWatch("holder", 4));
    StepJob impossible = makeWatch("impossible", 40);
    impossible.steps[0].requiredLabel = "none";
    service.submit(impossible);
    service.fixture.runFor(maxRestartWait);
    service.submit(makeWatch("late", 1));
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
}

/* The waits of one service kept the long-running tasks of another from their turns. */
Test(Preemption, theTurnsOfAServiceDoNotDependOnTheWaitsOfAnother)
{
    HeldService service(1, makeWatch("watch", 40));
    const ServiceId other("other");
    WorkerEntry entry = makeWorkerEntry("o1");
    entry.service = other;
    service.fixture.worker("o1").highestPercent = 100;
    service.fixture.dispatcher.workerListed(entry);
    service.fixture.runFor(milliseconds(100));
    StepJob holder = makeWatch("holder", 4);
    holder.service = other;
    service.submit(holder);
    service.fixture.runFor(seconds(15));
    cr_assert_eq(service.runsOf("holder"), 4U);
    StepJob late = makeWatch("late", 1);
    late.service = other;
    service.submit(late);
    service.fixture.runFor(maxRestartWait);
    cr_assert_eq(service.runsOf("late"), 1U);
}
