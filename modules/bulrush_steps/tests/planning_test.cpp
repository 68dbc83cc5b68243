#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr milliseconds taskDuration { 500 };

/** How long the owner is busy with one start request. */
constexpr microseconds processorTimeOfAStart { 400 };

/** Makes a job of consecutive steps, each with a number of tasks. */
StepJob makeSteps(const char *id, std::uint32_t steps, std::uint32_t tasks)
{
    StepJob job = makeJob(id, tasks);
    job.slackFactor = 1.5;
    job.latencyTarget = milliseconds(250);
    for (std::uint32_t step = 1; step < steps; ++step) {
        job.steps.push_back(job.steps.front());
        job.steps.back().dependsOn = { step - 1 };
    }
    return job;
}

/** Begins with a worker that can run one task at a time. */
void beginWithRoomForOneTask(DispatcherFixture &fixture)
{
    fixture.begin({});
    WorkerEntry worker = makeWorkerEntry("w1");
    worker.capacity = { 4000, 256000, 0 };
    fixture.dispatcher.workerListed(worker);
    fixture.runFor(milliseconds(100));
}

/** Submits a job that was accepted just now. */
void submit(DispatcherFixture &fixture, StepJob job)
{
    job.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(job);
}

/** Runs the dispatcher and ends each run after taskDuration. */
void runWithEndingTasks(DispatcherFixture &fixture, milliseconds span)
{
    const Instant end = fixture.clock.now() + span;
    std::size_t ended = 0;
    std::vector<Instant> startedAt;
    while (fixture.clock.now() < end) {
        fixture.runFor(tickInterval);
        startedAt.resize(fixture.workers.starts.size(), fixture.clock.now());
        for (; ended < startedAt.size() && fixture.clock.now() - startedAt[ended] >= taskDuration;
             ++ended) {
            const FakeWorkers::SentStart &start = fixture.workers.starts[ended];
            fixture.workers.endRun(start.worker, start.attempt, EndKind::Succeeded);
        }
    }
}

/** Returns the position of a job's first start of a step among all starts. */
std::size_t positionOfStep(const DispatcherFixture &fixture, const char *job, std::uint32_t step)
{
    const std::vector<FakeWorkers::SentStart> &starts = fixture.workers.starts;
    const auto found = std::find_if(
            starts.begin(), starts.end(), [job, step](const FakeWorkers::SentStart &each) {
                return each.attempt.task.job == JobId(job) && each.attempt.task.step == step;
            });
    return static_cast<std::size_t>(found - starts.begin());
}

} // namespace

/* Finished steps counted as work to come, so the last steps queued behind all batch work. */
Test(Planning, aJobThatIsInTimeKeepsItsPlaceAheadOfBatchWorkInItsLaterSteps)
{
    DispatcherFixture fixture;
    beginWithRoomForOneTask(fixture);
    submit(fixture, makeSteps("check", 4, 1));
    StepJob batch = makeJob("batch", 8);
    batch.priority = 2;
    batch.slackFactor = 100.0;
    submit(fixture, batch);
    runWithEndingTasks(fixture, seconds(3));
    for (std::uint32_t step = 0; step < 4; ++step) {
        cr_expect_eq(positionOfStep(fixture, "check", step), step);
    }
}

/* The later occurrences of a schedule queued behind all batch work, because their age counted from
   the submission. */
Test(Planning, aLaterOccurrenceThatIsInTimeGoesAheadOfBatchWork)
{
    DispatcherFixture fixture;
    beginWithRoomForOneTask(fixture);
    StepJob scheduled = makeSteps("scheduled", 1, 1);
    scheduled.timed = true;
    scheduled.occurrences = 2;
    scheduled.firstDue = fixture.clock.calendarMillis();
    scheduled.interval = milliseconds(3000);
    submit(fixture, scheduled);
    StepJob batch = makeJob("batch", 40);
    batch.priority = 2;
    batch.slackFactor = 100.0;
    submit(fixture, batch);
    runWithEndingTasks(fixture, seconds(6));
    const auto started = std::count_if(
            fixture.workers.starts.begin(), fixture.workers.starts.end(),
            [](const auto &each) { return each.attempt.task.job == JobId("scheduled"); });
    cr_assert_eq(started, 2);
}

/* A backlog of filling tasks took up the rounds of planning and the open start requests, so each
   step of a latency-critical job waited for the next round. */
Test(Planning, aBacklogOfFillingTasksDoesNotDelayTheStartsOfALatencyCriticalJob)
{

    DispatcherFixture fixture;
    fixture.workers.onStart = [&fixture] { fixture.clock.advance(processorTimeOfAStart); };
    fixture.begin({});
    for (int number = 0; number < 100; ++number) {
        fixture.listWorker(("w" + std::to_string(number)).c_str());
    }
    fixture.runFor(milliseconds(100));
    for (int number = 0; number < 60; ++number) {
        StepJob batch = makeJob(("batch" + std::to_string(number)).c_str(), 40);
        batch.priority = 2;
        batch.slackFactor = 100.0;
        batch.steps[0].fills = true;
        submit(fixture, batch);
    }
    runWithEndingTasks(fixture, milliseconds(500));
    const StepJob check = makeSteps("check", 4, 20);
    submit(fixture, check);
    runWithEndingTasks(fixture, seconds(5));
    const JobEntry &entry = *fixture.dispatcher.jobs().find(JobId("check"));
    cr_assert(entry.succeeded);
    const milliseconds waited = duration_cast<milliseconds>(entry.startWait());
    cr_assert_leq(waited.count(), check.latencyTarget.count(), "its starts waited for %d ms",
                  static_cast<int>(waited.count()));
}

/* The limit of unanswered starts was fixed, so an overloaded owner kept on sending starts in vain.
 */
Test(StartWindow, startsThatGoUnansweredDoNotKeepUpTheNumberOfOpenStarts)
{
    constexpr std::uint32_t most = 160;
    StartWindow window(most);
    const auto fill = [&window] {
        while (window.isOpen()) {
            window.started();
        }
        return window.open();
    };
    const auto finishAll = [&window](bool inTime) {
        while (window.open() > 0) {
            window.finished(inTime);
        }
    };
    cr_assert_eq(fill(), most);
    finishAll(false);
    cr_assert_leq(fill(), most / 8);
    for (int round = 0; round < 100; ++round) {
        finishAll(true);
        fill();
    }
    cr_assert_eq(window.open(), most);
}
