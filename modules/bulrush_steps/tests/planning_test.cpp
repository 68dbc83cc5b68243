#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <functional>
#include <string>

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

/** Ends each run of a fixture after taskDuration. */
class TaskEnder
{
public:
    explicit TaskEnder(DispatcherFixture &dispatcherFixture)
        : fixture(dispatcherFixture)
    {
    }

    void runFor(milliseconds span)
    {
        const Instant end = this->fixture.clock.now() + span;
        while (this->fixture.clock.now() < end) {
            this->fixture.runFor(tickInterval);
            this->endDueRuns();
        }
    }

private:
    void endDueRuns()
    {
        const Instant now = this->fixture.clock.now();
        const std::vector<FakeWorkers::SentStart> &starts = this->fixture.workers.starts;
        this->startedAt.resize(starts.size(), now);
        for (; this->ended < starts.size() && now - this->startedAt[this->ended] >= taskDuration;
             ++this->ended) {
            const FakeWorkers::SentStart &start = starts[this->ended];
            this->fixture.workers.endRun(start.worker, start.attempt, EndKind::Succeeded);
        }
    }

    DispatcherFixture &fixture;
    std::size_t ended = 0;
    std::vector<Instant> startedAt;
};

/** Runs the dispatcher and ends each run after taskDuration. */
void runWithEndingTasks(DispatcherFixture &fixture, milliseconds span)
{
    TaskEnder(fixture).runFor(span);
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

/** Returns the share of the jobs whose names begin with a text that ended within three times their
    objectives. */
double servedShare(const DispatcherFixture &fixture, std::string_view kind)
{
    constexpr int lateLimit = 3;
    const DurationEstimator durations;
    double served = 0.0;
    double jobs = 0.0;
    for (const auto &[id, job] : fixture.dispatcher.jobs().entries()) {
        if (!id.name().starts_with(kind)) {
            continue;
        }
        jobs += 1.0;
        const std::optional<Instant> endedAt = job.occurrences.at(0).steps.back().endedAt;
        const Duration limit = durations.objective(job.spec) * lateLimit;
        served += endedAt && *endedAt - job.acceptedAt <= limit ? 1.0 : 0.0;
    }
    return served / jobs;
}

/** An owner on a processor so slow that each look at its ownership, of which planning takes one for
    each step, takes time. */
class SlowOwner : public DispatcherFixture
{
public:
    bool isOwner() const override
    {
        if (this->busy) {
            this->busy();
        }
        return DispatcherFixture::isOwner();
    }

    std::function<void()> busy;
};

/** Keeps many filling jobs waiting that are in time. */
void supplyTimelyFills(DispatcherFixture &fixture)
{
    constexpr std::size_t minWaitingFills = 60;
    const std::size_t waiting = fixture.dispatcher.load().plan.waitingFills;
    for (std::size_t number = waiting; number < minWaitingFills; ++number) {
        const std::string name =
                "timely" + std::to_string(fixture.dispatcher.jobs().entries().size());
        StepJob job = makeJob(name.c_str(), 1);
        job.slackFactor = 1000.0;
        job.steps[0].fills = true;
        submit(fixture, job);
    }
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

/* With a quarter more work than can be started, each job was begun so late that hardly any ended in
   time. */
Test(Planning, anOverloadedOwnerStillServesMostOfItsJobsInTime)
{
    constexpr std::uint32_t jobs = 60;
    constexpr std::uint32_t tasksAtOnce = 8;
    constexpr milliseconds jobInterval { 800 };
    constexpr milliseconds objective { 4000 };
    DispatcherFixture fixture;
    fixture.begin({});
    WorkerEntry worker = makeWorkerEntry("w1");
    worker.capacity = { 4000 * tasksAtOnce, 256000, 0 };
    fixture.dispatcher.workerListed(worker);
    fixture.runFor(milliseconds(100));
    TaskEnder ender(fixture);
    for (std::uint32_t number = 0; number < jobs; ++number) {
        StepJob job = makeSteps(("batch" + std::to_string(number)).c_str(), 2, tasksAtOnce);
        job.latencyTarget = milliseconds(2500);
        submit(fixture, job);
        ender.runFor(jobInterval);
    }
    const auto &entries = fixture.dispatcher.jobs().entries();
    const auto inTime = std::count_if(entries.begin(), entries.end(), [&](const auto &each) {
        const JobEntry &job = each.second;
        const std::optional<Instant> endedAt = job.occurrences.at(0).steps.back().endedAt;
        return job.succeeded && endedAt && *endedAt - job.acceptedAt <= objective;
    });
    cr_assert_geq(inTime, jobs * 3 / 5, "%d of %u jobs ended in time", static_cast<int>(inTime),
                  jobs);
}

/* Jobs of many tasks are begun and then completed first, so jobs of one task wait behind them. */
Test(Planning, anOverloadServesNoKindOfJobsFarLessThanAll)
{
    constexpr std::uint32_t tasksAtOnce = 8;
    constexpr std::uint32_t rounds = 60;
    constexpr std::uint32_t shortJobsARound = 8;
    constexpr double minPartOfAll = 0.8;
    DispatcherFixture fixture;
    fixture.begin({});
    WorkerEntry worker = makeWorkerEntry("w1");
    worker.capacity = { 4000 * tasksAtOnce, 256000, 0 };
    fixture.dispatcher.workerListed(worker);
    fixture.runFor(milliseconds(100));
    TaskEnder ender(fixture);
    for (std::uint32_t round = 0; round < rounds; ++round) {
        StepJob large = makeSteps(("large" + std::to_string(round)).c_str(), 2, tasksAtOnce);
        large.latencyTarget = milliseconds(2500);
        submit(fixture, large);
        for (std::uint32_t number = 0; number < shortJobsARound; ++number) {
            const std::string id = "short" + std::to_string(round) + "-" + std::to_string(number);
            submit(fixture, makeSteps(id.c_str(), 1, 1));
        }
        ender.runFor(seconds(1));
    }
    const double all = servedShare(fixture, "");
    for (const char *kind : { "large", "short" }) {
        cr_expect_geq(servedShare(fixture, kind), minPartOfAll * all,
                      "%s jobs: %.2f served, all: %.2f", kind, servedShare(fixture, kind), all);
    }
}

/* A step that found no room on the workers of its service kept those of other services waiting. */
Test(Planning, aFullServiceDoesNotHoldUpTheStepsOfAnother)
{
    constexpr std::uint32_t tasks = 4;
    DispatcherFixture fixture;
    beginWithRoomForOneTask(fixture);
    WorkerEntry free = makeWorkerEntry("w2");
    free.service = ServiceId("audit");
    fixture.dispatcher.workerListed(free);
    fixture.runFor(milliseconds(100));
    submit(fixture, makeSteps("full", 1, tasks));
    fixture.runFor(milliseconds(100));
    StepJob other = makeSteps("other", 1, tasks);
    other.service = free.service;
    submit(fixture, other);
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.startsOn("w2"), tasks);
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

/* Of an owner that lacks time, the order of the filling steps began anew before it came to the late
   ones, which rank last, so these never got a run. */
Test(Planning, aLateFillingJobGetsARunThoughTheOwnerNeverReachesTheEndOfTheOrder)
{
    SlowOwner fixture;
    fixture.begin({});
    StepJob late = makeJob("late", 1);
    late.steps[0].fills = true;
    submit(fixture, late);
    fixture.runFor(DurationEstimator().objective(late) * lateLimitFactor + seconds(1));
    supplyTimelyFills(fixture);
    fixture.busy = [&fixture] { fixture.clock.advance(milliseconds(3)); };
    for (int number = 0; number < 20; ++number) {
        fixture.listWorker(("w" + std::to_string(number)).c_str());
    }
    TaskEnder ender(fixture);
    std::uint32_t notReached = 0;
    const Instant end = fixture.clock.now() + seconds(5);
    while (fixture.clock.now() < end) {
        supplyTimelyFills(fixture);
        ender.runFor(tickInterval);
        const PlanLoad load = fixture.dispatcher.load().plan;
        notReached = std::max(notReached, load.fillingWaits.count(WaitReason::NotReached));
    }
    const auto startsOf = [&fixture](std::string_view kind) {
        return std::count_if(fixture.workers.starts.begin(), fixture.workers.starts.end(),
                             [kind](const FakeWorkers::SentStart &each) {
                                 return each.attempt.task.job.name().starts_with(kind);
                             });
    };
    cr_assert_gt(notReached, 0U);
    cr_expect_gt(startsOf("timely"), 10);
    cr_expect_eq(startsOf("late"), 1);
}
