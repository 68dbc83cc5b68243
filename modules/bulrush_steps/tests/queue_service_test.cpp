#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr milliseconds objective { 1000 };
constexpr milliseconds inTime { 900 };
constexpr milliseconds late { 2900 };
constexpr milliseconds tooLate { 3100 };
constexpr std::size_t small = 4;
constexpr std::size_t large = 64;

/** A QueueService on a clock that only the test advances. */
struct ServiceFixture
{
    void record(int jobs, std::size_t size, Duration age)
    {
        for (int job = 0; job < jobs; ++job) {
            this->service.record("checks", { size, age, objective }, this->clock.now());
        }
    }

    QueueReport judge()
    {
        const std::vector<QueueReport> reports = this->service.judge(this->clock.now());
        return reports.empty() ? QueueReport() : reports.front();
    }

    ManualClock clock;
    QueueService service;
};

/** Accepts jobs of one task each. */
void acceptJobs(DispatcherFixture &fixture, int jobs)
{
    for (int job = 0; job < jobs; ++job) {
        StepJob spec = makeJob(("job-" + std::to_string(job)).c_str(), 1);
        spec.acceptedAt = fixture.clock.calendarMillis();
        fixture.accept(spec);
    }
}

} // namespace

/* A queue was served late for half a minute, and nothing told of it. */
Test(QueueService, reportsAQueueWhoseJobsEndTooLateAndItsRecovery)
{
    ServiceFixture fixture;
    fixture.record(7, small, inTime);
    fixture.record(1, small, late);
    fixture.record(2, small, tooLate);
    cr_expect_eq(fixture.judge().state, QueueState::Served);
    fixture.record(1, small, tooLate);
    const QueueReport report = fixture.judge();
    cr_expect_eq(report.state, QueueState::Late);
    cr_expect_eq(report.all.jobs, 11);
    cr_expect_eq(report.all.inTime, 7);
    cr_expect_eq(report.all.served, 8);
    fixture.clock.advance(seconds(10));
    cr_expect_eq(fixture.judge().state, QueueState::NotJudged);
    fixture.record(5, small, inTime);
    cr_expect_eq(fixture.judge().state, QueueState::Recovered);
    cr_expect_eq(fixture.judge().state, QueueState::Served);
}

/* The few large jobs of a queue were all late, and the many small ones hid it. */
Test(QueueService, reportsAQueueWhoseLargeJobsAreLateWhileTheWholeIsServed)
{
    ServiceFixture fixture;
    fixture.record(18, small, inTime);
    fixture.record(1, large, inTime);
    fixture.record(1, large, tooLate);
    cr_expect_eq(fixture.judge().state, QueueState::Served);
    fixture.record(1, large, tooLate);
    const QueueReport report = fixture.judge();
    cr_expect_eq(report.state, QueueState::Late);
    cr_expect_geq(report.all.servedShare(), 0.8);
    cr_expect_eq(report.largeSize, large);
    cr_expect_eq(report.large.jobs, 3);
    cr_expect_eq(report.large.served, 1);
}

/* One late job of a queue that is hardly used would be reported as a late queue. */
Test(QueueService, doesNotJudgeAQueueWithTooFewJobs)
{
    ServiceFixture fixture;
    fixture.record(4, small, tooLate);
    cr_expect_eq(fixture.judge().state, QueueState::NotJudged);
    fixture.record(1, small, tooLate);
    cr_expect_eq(fixture.judge().state, QueueState::Late);
}

/* Jobs that never end would not show at all, or in each second and once more when they end. */
Test(QueueService, countsAStuckJobOnceAndLogsTheQueueOnceASecond)
{
    DispatcherFixture fixture;
    fixture.begin({});
    acceptJobs(fixture, 5);
    fixture.runFor(seconds(2));
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::QueueServedLate];
    cr_expect(lines.empty());
    fixture.runFor(milliseconds(4500));
    cr_expect(lines.size() >= 3 && lines.size() <= 4);
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(100));
    cr_assert_eq(fixture.workers.starts.size(), 5);
    for (const FakeWorkers::SentStart &start : fixture.workers.starts) {
        fixture.workers.endRun(start.worker, start.attempt, EndKind::Succeeded);
    }
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.decisions.lines[Event::JobEnded].size(), 5);
    cr_expect_eq(fixture.dispatcher.load().queues.front().all.jobs, 5);
    cr_expect(lines.back().starts_with(R"(,"queue":"checks","jobs":5,)"), "%s",
              lines.back().c_str());
    cr_expect_eq(fixture.decisions.lines[Event::QueueServedAgain].size(), 0);
}
