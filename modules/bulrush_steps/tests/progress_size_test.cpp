#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::uint32_t largeTasks = 15'000;

StepJob makeSmallTasks(const char *id, std::uint32_t tasks)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].size = { 50, 16, 0 };
    job.steps[0].estimate = seconds(20);
    return job;
}

/** Lets all runs of the only worker end whenever its tasks have been started. */
void runWithEndingTasks(DispatcherFixture &fixture, milliseconds span, EndKind end)
{
    constexpr milliseconds taskDuration { 50 };
    for (milliseconds passed { 0 }; passed < span; passed += taskDuration) {
        fixture.runFor(taskDuration);
        const std::map<AttemptRef, ListedRun> running = fixture.worker("w1").running;
        for (const auto &[attempt, run] : running) {
            const bool runsOn = fixture.dispatcher.jobs()
                                        .find(attempt.task.job)
                                        ->step(attempt.task)
                                        .runsIndefinitely;
            if (!runsOn) {
                fixture.workers.endRun(TargetId("w1"), attempt, end);
            }
        }
    }
}

void beginWithOneWorker(DispatcherFixture &fixture)
{
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
}

/** Returns what a new owner reads: the job records given, and all newest records of progress. */
StepJobTable readRecords(DispatcherFixture &fixture, const StepJob &job, const Clock &clock)
{
    StepJobTable table;
    table.applyJobRecord({ records::jobKey(job.id), records::encode(job), 1 }, clock);
    std::set<std::string> keys;
    for (const KeyedRecord &record : fixture.log.streams[LogStream::Progress]) {
        keys.insert(record.key);
    }
    for (const std::string &key : keys) {
        table.applyProgress({ key, fixture.log.newestValue(LogStream::Progress, key), 1 });
    }
    return table;
}

} // namespace

/* The progress of a job of many tasks was longer than a record may be. The store rejected it
   without end, and with it the progress of all other jobs. */
Test(ProgressSize, aJobOfManyTasksDoesNotStopTheProgressOfOthers)
{
    DispatcherFixture fixture;
    beginWithOneWorker(fixture);
    fixture.accept(makeSmallTasks("large", largeTasks));
    runWithEndingTasks(fixture, seconds(20), EndKind::Succeeded);
    StepJob lasting = makeSmallTasks("lasting", 6);
    lasting.steps[0].runsIndefinitely = true;
    fixture.accept(lasting);
    fixture.accept(makeSmallTasks("small", 4));
    runWithEndingTasks(fixture, seconds(10), EndKind::Succeeded);
    cr_expect(fixture.dispatcher.stateOf(JobId("large")) == JobState::Succeeded);
    cr_expect(fixture.dispatcher.stateOf(JobId("small")) == JobState::Succeeded);
    cr_expect(fixture.dispatcher.stateOf(JobId("lasting")) == JobState::Running);
    cr_expect_eq(fixture.worker("w1").ended.size(), 0U, "ends were not acknowledged");
}

/* Several large jobs changed while the store was down: their records together were longer than one
   append may be, and the store rejected it without end. */
Test(ProgressSize, anAppendTakesNoMoreThanTheStoreDoes)
{
    constexpr int jobs = 6;
    constexpr std::uint32_t endedTasks = 150;
    DispatcherFixture fixture;
    fixture.log.maxSizes.append = 8000;
    fixture.worker("w1").maxListedEnds = 5000;
    beginWithOneWorker(fixture);
    for (int number = 0; number < jobs; ++number) {
        fixture.accept(makeSmallTasks(("j" + std::to_string(number)).c_str(), 200));
    }
    fixture.runFor(seconds(3));
    fixture.log.up = false;
    const std::map<AttemptRef, ListedRun> running = fixture.worker("w1").running;
    cr_assert_eq(running.size(), 200U * jobs);
    for (const auto &[attempt, run] : running) {
        if (attempt.task.index < endedTasks) {
            fixture.workers.endRun(TargetId("w1"), attempt, EndKind::Succeeded);
        }
    }
    fixture.runFor(seconds(1));
    fixture.log.up = true;
    fixture.runFor(seconds(1));
    cr_expect_eq(fixture.worker("w1").acknowledged, endedTasks * jobs);
}

/* The progress of a job is in several records. A new owner must start none of its tasks that have
   succeeded, and complete it if only the record of its end is missing. */
Test(ProgressSize, aNewOwnerKnowsThePartsOfALargeJob)
{
    constexpr std::uint32_t tasks = 3000;
    for (const milliseconds span : { milliseconds(1000), milliseconds(4000) }) {
        DispatcherFixture first;
        const StepJob job = makeSmallTasks("a", tasks);
        beginWithOneWorker(first);
        first.accept(job);
        runWithEndingTasks(first, span, EndKind::Succeeded);
        first.runFor(milliseconds(300));
        const std::set<AttemptRef> leftRunning = [&first] {
            std::set<AttemptRef> left;
            for (const auto &[attempt, run] : first.worker("w1").running) {
                left.insert(attempt);
            }
            return left;
        }();
        StepJobTable table = readRecords(first, job, first.clock);
        table.find(job.id)->endStored = false;
        const std::size_t startedBefore = first.workers.starts.size() - leftRunning.size();
        DispatcherFixture second;
        second.begin(std::move(table), 4);
        second.listWorker("w1");
        runWithEndingTasks(second, seconds(6), EndKind::Succeeded);
        cr_expect_eq(second.workers.starts.size(), tasks - startedBefore);
        cr_expect(second.dispatcher.stateOf(job.id) == JobState::Succeeded);
    }
}

/* Later parts of a job's progress stayed in the store when its end was on record. */
Test(ProgressSize, theLaterPartsOfAnEndedJobAreRemoved)
{
    DispatcherFixture fixture;
    beginWithOneWorker(fixture);
    fixture.accept(makeSmallTasks("a", 1000));
    runWithEndingTasks(fixture, seconds(4), EndKind::Succeeded);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
    std::size_t removed = 0;
    for (std::uint32_t number = 1; number < progressPartCount(makeSmallTasks("a", 1000));
         ++number) {
        const std::string key = records::progressKey({ JobId("a"), number });
        removed += fixture.log.newestValue(LogStream::Progress, key).empty() ? 1 : 0;
    }
    cr_expect_eq(removed, 3U);
}

/* So many failed attempts that the record of a part becomes too long must cost that job alone. */
Test(ProgressSize, aJobWhosePartDoesNotFitIntoARecordFailsAlone)
{
    for (const bool announced : { true, false }) {
        DispatcherFixture fixture;
        fixture.log.maxSizes.record = 2000;
        fixture.log.announcesLimits = announced;
        beginWithOneWorker(fixture);
        StepJob job = makeSmallTasks("a", 200);
        job.maxAttempts = 1000;
        fixture.accept(job);
        fixture.accept(makeSmallTasks("b", 4));
        runWithEndingTasks(fixture, seconds(60), EndKind::Failed);
        cr_expect(fixture.dispatcher.stateOf(JobId("a")) == JobState::Failed);
        cr_expect_eq(fixture.decisions.lines[Event::ProgressTooLong].size(), 1U);
        cr_expect_eq(fixture.decisions.lines[Event::AppendRejected].empty(), announced);
        fixture.accept(makeSmallTasks("c", 4));
        runWithEndingTasks(fixture, seconds(10), EndKind::Succeeded);
        cr_expect(fixture.dispatcher.stateOf(JobId("c")) == JobState::Succeeded);
    }
}

/* A roster that the store rejects must not count as stored: a new owner would not know which
   workers may have tasks. */
Test(ProgressSize, aWorkerOfARejectedRosterGetsNoTasks)
{
    DispatcherFixture fixture;
    const Roster roster { { TargetId("w1") }, 3, {} };
    fixture.log.maxSizes.record = records::encode(roster).size();
    fixture.log.announcesLimits = false;
    beginWithOneWorker(fixture);
    fixture.accept(makeSmallTasks("a", 4));
    fixture.runFor(seconds(2));
    cr_expect(fixture.workers.starts.empty());
    cr_expect_not(fixture.decisions.lines[Event::AppendRejected].empty());
}
