#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Appends jobs and their progress to a log, as former owners did. Every second job succeeded. */
void appendJobs(FakeLog &log, int jobs)
{
    for (int number = 0; number < jobs; ++number) {
        StepJob job;
        job.id = JobId("job" + std::to_string(number));
        job.queue = "q";
        job.steps.resize(1);
        log.streams[LogStream::Jobs].push_back(
                { records::jobKey(job.id), records::encode(job), 0 });
        JobProgress progress;
        progress.job = job.id;
        progress.succeeded = number % 2 == 0;
        log.streams[LogStream::Progress].push_back(
                { records::jobKey(job.id), records::encode(progress), 0 });
    }
}

} // namespace

Test(RecordsView, readsAllPagesAndThenOnlyNewRecords)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 7);
    RecordsView view(clock, log, decisions);
    int reads = 0;
    const auto readAll = [&] {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
    };
    readAll();
    cr_assert_eq(view.jobTable().entries().size(), 7U);
    cr_assert(view.jobTable().find(JobId("job4"))->succeeded);
    cr_assert_not(view.jobTable().find(JobId("job5"))->succeeded);
    appendJobs(log, 9);
    readAll();
    cr_assert_eq(view.jobTable().entries().size(), 9U);
    cr_assert_lt(reads, 3, "records that had been read were read again");
}

/* The store trimmed records that the view had not read yet. */
Test(RecordsView, readsTheNewestRecordsAgainAfterTheHistoryWasTrimmed)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 3);
    RecordsView view(clock, log, decisions);
    for (int round = 0; round < 2; ++round) {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (int reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
        appendJobs(log, 5);
        log.firstRetained = 8;
    }
    cr_assert_eq(view.jobTable().entries().size(), 5U);
}

/* Owner 3 has settled and removed the record of owner 2. A standby that had read it and did not see
   the removal, since the history was trimmed, waited for owner 2 again when it took over. */
Test(RecordsView, forgetsTheOwnersWhoseRecordsAreGone)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    RecordsView view(clock, log, decisions);
    const auto readAll = [&] {
        bool done = false;
        view.refresh([&done](bool succeeded) { done = succeeded; });
        for (int reads = 0; reads < 50 && !done; ++reads) {
            log.deliver();
        }
        cr_assert(done);
    };
    appendJobs(log, 5);
    std::vector<KeyedRecord> &jobs = log.streams[LogStream::Jobs];
    jobs.push_back({ records::ownerKey(2), records::encode(OwnerRecord { 2, "m" }), 0 });
    jobs.push_back({ records::resignationKey(2), records::encodeResignation({ 2, {} }), 0 });
    readAll();
    cr_assert_eq(view.jobTable().owners().size(), 1U);
    jobs.push_back({ records::ownerKey(2), {}, 0 });
    jobs.push_back({ records::resignationKey(2), {}, 0 });
    jobs.push_back({ records::ownerKey(3), records::encode(OwnerRecord { 3, "n" }), 0 });
    appendJobs(log, 5);
    log.firstRetained = 10;
    readAll();
    cr_assert_eq(view.jobTable().owners().size(), 1U);
    cr_assert(view.jobTable().owners().contains(3));
    cr_assert(view.jobTable().resignations().empty());
}

Test(RecordsView, reportsFailureWhenTheStoreDoesNotAnswer)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    bool called = false;
    bool succeeded = true;
    view.refresh([&](bool outcome) {
        called = true;
        succeeded = outcome;
    });
    log.deliver();
    cr_assert(called);
    cr_assert_not(succeeded);
}

/* While no owner answers, callers' questions are answered from the records. Each of them had a
   reading of its own, and a takeover waited in their queue. */
Test(RecordsView, oneReadingServesAllCallsThatCameDuringTheLast)
{
    const ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 1);
    RecordsView view(clock, log, decisions);
    int served = 0;
    for (int call = 0; call < 20; ++call) {
        view.refresh([&served](bool succeeded) { served += succeeded ? 1 : 0; });
    }
    for (int round = 0; round < 6; ++round) {
        log.deliver();
    }
    cr_assert_eq(served, 20);
}

Test(Takeover, fencesTheFormerOwnerAndAppendsItsMarkBeforeItReads)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    appendJobs(log, 2);
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    std::optional<LogOffset> mark;
    takeover.begin(
            7, "m", [&mark](LogOffset offset) { mark = offset; }, [] {});
    cr_assert_eq(log.epoch, 7U);
    for (int round = 0; round < 50 && !mark; ++round) {
        log.deliver();
    }
    cr_assert_eq(mark.value(), 2U);
    cr_assert_eq(view.jobTable().newestOwnerToken(), 7U);
    const std::string &record = log.newestValue(LogStream::Jobs, records::ownerKey(7));
    cr_assert_eq(records::decodeOwner(record).member, "m");
    cr_assert_eq(log.newestValue(LogStream::Jobs, records::newestOwnerKey()), record);
}

Test(Takeover, retriesUntilAnOutageIsOver)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.up = false;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    bool done = false;
    takeover.begin(
            7, "m", [&done](LogOffset /*offset*/) { done = true; }, [] {});
    for (int round = 0; round < 100 && !done; ++round) {
        clock.advance(milliseconds(50));
        log.deliver();
        takeover.tick();
        log.up = round > 20;
    }
    cr_assert(done);
}

/* An owner was never ready, and nothing in its log said how far it had come. */
Test(Takeover, logsEachSecondHowFarItHasCome)
{
    ManualClock clock;
    RecordedDecisions decisions;
    FakeLog log;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    takeover.begin(
            7, "m", [](LogOffset /*offset*/) {}, [] {});
    log.deliver();
    log.up = false;
    for (int round = 0; round < 20; ++round) {
        clock.advance(milliseconds(100));
        log.deliver();
        takeover.tick();
    }
    const std::vector<std::string> &lines = decisions.lines[Event::TakeoverStep];
    const auto count = [&lines](std::string_view text) {
        return std::count_if(lines.begin(), lines.end(), [text](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    };
    cr_assert_eq(count(R"("step":"fence","outcome":"done")"), 1);
    cr_assert_eq(count(R"("step":"owner record","outcome":"done")"), 1);
    cr_assert_gt(count(R"("step":"read","outcome":"failed")"), 1);
    cr_assert_eq(count(R"("step":"read","outcome":"under way")"), 2);
    takeover.cancel();
    cr_assert_eq(count(R"("outcome":"abandoned")"), 1);
}

Test(Takeover, reportsThatANewerOwnerHasBegun)
{
    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    log.epoch = 9;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    bool superseded = false;
    takeover.begin(
            7, "m", [](LogOffset /*offset*/) { cr_assert_fail(); },
            [&] {
                superseded = true;
                takeover.cancel();
            });
    for (int round = 0; round < 10; ++round) {
        log.deliver();
    }
    cr_assert(superseded);
}
