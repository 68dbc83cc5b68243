#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::test;

namespace {

StepJob makeLastingJob(const char *id)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    return job;
}

AttemptRef attemptOf(const char *job, std::uint64_t number)
{
    return { { JobId(job), 0, 0, 0 }, number };
}

} // namespace

/* Owner 1 (this version, silent, cut off) has the task on w2. Owner 2 (earlier version) never
   heard w2, wrote the job's record without the assignment, and resigned, naming owner 1. */
Test(AssignmentGuard, anEarlierVersionInBetweenMayHaveErasedTheAssignment)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeLastingJob("a"), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    table.applyJobRecord(
            { records::ownerKey(1), records::encode(OwnerRecord { 1, "m#1", true }), 1 },
            fixture.clock);
    table.applyJobRecord(
            { records::ownerKey(2), records::encode(OwnerRecord { 2, "m#2", false }), 1 },
            fixture.clock);
    table.applyJobRecord({ records::resignationKey(2),
                           records::encodeResignation({ 2, { { 1, formerOrdersLifetime } } }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 0U, "%zu starts", fixture.workers.starts.size());
}

/* A run of the task is found elsewhere while its assigned start waits for the store. */
Test(AssignmentGuard, aStartIsNotSentOnceTheRecordNamesAnotherWorker)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    fixture.accept(makeLastingJob("a"));
    fixture.runFor(milliseconds(300));
    const AttemptRef running = attemptOf("a", 2001);
    fixture.worker("w3").running[running] = { running, "", 30, 0.0 };
    fixture.listWorker("w3");
    fixture.runFor(milliseconds(300));
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 0U);
}

/* A suspected task is assigned apart; nothing else may go there before it is sent. */
Test(AssignmentGuard, nothingIsStartedBesideASuspectedTaskThatIsAssigned)
{
    DispatcherFixture fixture;
    StepJobTable table = makeJobTable(makeLastingJob("a"), {}, fixture.clock);
    JobProgress progress;
    progress.tasks.push_back({});
    progress.tasks.front().crashedAttempts = { 2001 };
    progress.tasks.front().youngCrashes = { 2001 };
    table.applyProgress({ records::jobKey(JobId("a")), records::encode(progress), 2 });
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    for (int step = 0; step < 40; ++step) {
        fixture.runFor(tickInterval);
        const auto &workers = fixture.dispatcher.runs().workers();
        const auto found = workers.find(TargetId("w1"));
        if (found != workers.end() && !found->second.runs.empty()) {
            break;
        }
    }
    cr_assert_eq(fixture.dispatcher.runs().workers().at(TargetId("w1")).runs.size(), 1U);
    cr_assert_eq(fixture.workers.starts.size(), 0U);
    fixture.accept(makeJob("b", 1));
    fixture.runFor(milliseconds(200));
    cr_assert_eq(fixture.startsOn("w1"), 1U, "%zu starts on w1", fixture.startsOn("w1"));
}

/* The store comes back and confirms many assignments at once. */
Test(AssignmentGuard, theWindowOfUnansweredStartsHolds)
{
    DispatcherFixture fixture;
    fixture.begin({});
    for (int i = 0; i < 40; ++i) {
        fixture.listWorker(("w" + std::to_string(100 + i)).c_str());
    }
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    StepJob job = makeLastingJob("a");
    job.steps[0].taskCount = 400;
    fixture.accept(job);
    fixture.runFor(milliseconds(1000));
    std::uint32_t most = 0;
    fixture.workers.onStart = [&] { most = std::max(most, fixture.dispatcher.load().openStarts); };
    fixture.log.up = true;
    fixture.runFor(milliseconds(1000));
    cr_assert_leq(most, 160U, "%u open starts, %zu starts", most, fixture.workers.starts.size());
}

/* A former owner that the store does not serve would start the task again on the same worker. */
Test(AssignmentGuard, eachStartOfALastingTaskIsRefusedByTheStoreOfANewerOwner)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.accept(makeLastingJob("a"));
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    fixture.log.up = false;
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 1U, "%zu starts", fixture.workers.starts.size());
}

/* More jobs wait for their records than fit into one append. */
Test(AssignmentGuard, eachStartOfManyJobsFindsItsWorkerOnRecord)
{
    DispatcherFixture fixture;
    fixture.begin({});
    for (int i = 0; i < 20; ++i) {
        fixture.listWorker(("w" + std::to_string(100 + i)).c_str());
    }
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    for (int i = 0; i < 250; ++i) {
        fixture.accept(makeLastingJob(("j" + std::to_string(1000 + i)).c_str()));
    }
    fixture.runFor(milliseconds(1000));
    std::size_t unrecorded = 0;
    fixture.workers.onStart = [&] {
        const FakeWorkers::SentStart &sent = fixture.workers.starts.back();
        const std::string key = records::jobKey(sent.attempt.task.job);
        const std::string value = fixture.log.newestValue(LogStream::Progress, key);
        const bool named = !value.empty()
                && records::decodeProgress(key, value).tasks.at(0).assignedTo == sent.worker;
        unrecorded += named ? 0 : 1;
    };
    fixture.log.up = true;
    fixture.runFor(milliseconds(3000));
    cr_assert_eq(unrecorded, 0U);
    cr_assert_eq(fixture.workers.starts.size(), 250U, "%zu", fixture.workers.starts.size());
}
/* Owner 1 (earlier version) resigned; owner 2 (this version) found the run on w2, was cut off with
   w2 before the assignment was stored, and renews its lease. */
Test(AssignmentGuard, aRunThatWasFoundButNotRecordedMayLiveOnWithAnOwnerOfThisVersion)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJobTable table =
            makeJobTable(makeLastingJob("a"), { TargetId("w1"), TargetId("w2") }, fixture.clock);
    table.applyJobRecord(
            { records::ownerKey(1), records::encode(OwnerRecord { 1, "m#1", false }), 1 },
            fixture.clock);
    table.applyJobRecord(
            { records::ownerKey(2), records::encode(OwnerRecord { 2, "m#2", true }), 1 },
            fixture.clock);
    table.applyJobRecord({ records::resignationKey(1), records::encodeResignation({ 1, {} }), 1 },
                         fixture.clock);
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 0U, "%zu starts", fixture.workers.starts.size());
}

/* Long-running tasks wait for the store; they must not use up the starts that others may have in
   flight. */
Test(AssignmentGuard, tasksThatEndStartWhileManyLongRunningOnesWaitForTheStore)
{
    DispatcherFixture fixture;
    fixture.begin({});
    for (int i = 0; i < 40; ++i) {
        fixture.listWorker(("w" + std::to_string(100 + i)).c_str());
    }
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    StepJob lasting = makeLastingJob("a");
    lasting.steps[0].taskCount = 400;
    fixture.accept(lasting);
    fixture.runFor(milliseconds(500));
    fixture.accept(makeJob("b", 4));
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 4U, "%zu starts", fixture.workers.starts.size());
    fixture.log.up = true;
    fixture.runFor(seconds(2));
    const auto ofLasting = [](const FakeWorkers::SentStart &start) {
        return start.attempt.task.job == JobId("a");
    };
    cr_assert_eq(
            std::count_if(fixture.workers.starts.begin(), fixture.workers.starts.end(), ofLasting),
            400);
}

/* More jobs change all the time than fit into one append, as while the store is slow. No change
   counted as stored, so no start of a long-running task was sent. */
Test(AssignmentGuard, aChangeIsStoredWhileMoreJobsChangeThanFitIntoOneAppend)
{
    ManualClock clock;
    FakeLog log;
    struct Records : ProgressWriter::Listener
    {
        ProgressRecord progressRecord(const ProgressPart & /*part*/) override { return { "{}" }; }
        void recordTooLong(const ProgressPart & /*part*/, std::size_t /*bytes*/) override { }
        std::string rosterRecord() override { return "{}"; }
        void stored(const std::vector<WrittenProgress> & /*parts*/, bool /*withRoster*/) override {
        }
        void writerFenced() override { }
    };
    Records listener;
    ProgressWriter writer(clock, log, listener);
    writer.begin(99);
    const std::uint64_t first = writer.markChanged({ JobId("zz"), 0 }, true);
    for (int round = 0; round < 20; ++round) {
        for (int job = 0; job < 300; ++job) {
            writer.markChanged({ JobId("j" + std::to_string(1000 + job)), 0 }, false);
        }
        clock.advance(milliseconds(50));
        writer.tick();
        log.deliver();
    }
    cr_assert_geq(writer.storedChange(), first);
}
