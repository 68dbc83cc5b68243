#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr Instant start { hours(1) };
constexpr milliseconds fullWait { 20'000 };

OwnershipTerm termOf(std::uint64_t token)
{
    OwnershipTerm term;
    term.fencingToken = token;
    term.previousOwnerSettledAt = start + fullWait;
    return term;
}

StepJob makeLastingJob(const char *id, std::uint32_t tasks = 1)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].runsIndefinitely = true;
    return job;
}

void listWorkers(DispatcherFixture &fixture, int count)
{
    constexpr int firstNumber = 100;
    for (int number = firstNumber; number < firstNumber + count; ++number) {
        fixture.listWorker(("w" + std::to_string(number)).c_str());
    }
}

/** An owner without predecessors whose only worker was assigned a task that the store, which is
    down, has not recorded. */
class AssigningOwner : public DispatcherFixture
{
public:
    AssigningOwner()
    {
        this->processes.list = WorkerProcesses { { TargetId("w1"), TargetId("w2") }, 1 };
        this->begin({});
        this->listWorker("w1");
        this->runFor(milliseconds(300));
        this->log.up = false;
        this->accept(makeLastingJob("a"));
        this->runFor(milliseconds(300));
        cr_assert_eq(this->workers.starts.size(), 0U);
    }

    const Worker &firstWorker() const
    {
        return this->dispatcher.runs().workers().at(TargetId("w1"));
    }

    TaskProgress storedTask()
    {
        const std::string key = records::jobKey(JobId("a"));
        return records::decodeProgress(key, this->log.newestValue(LogStream::Progress, key))
                .tasks.at(0);
    }
};

} // namespace

/* An append holds 200 records at most. A start must not go out with the storage of another's. */
Test(AssignmentRecord, eachStartOfManyJobsFindsItsOwnWorkerOnRecord)
{
    DispatcherFixture fixture;
    fixture.begin({});
    listWorkers(fixture, 20);
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    constexpr int jobs = 250;
    for (int number = 0; number < jobs; ++number) {
        fixture.accept(makeLastingJob(("j" + std::to_string(number)).c_str()));
    }
    fixture.runFor(seconds(1));
    std::size_t unrecorded = 0;
    fixture.workers.onStart = [&fixture, &unrecorded] {
        const FakeWorkers::SentStart &sent = fixture.workers.starts.back();
        const std::string key = records::jobKey(sent.attempt.task.job);
        const std::string value = fixture.log.newestValue(LogStream::Progress, key);
        const bool named = !value.empty()
                && records::decodeProgress(key, value).tasks.at(0).assignedTo == sent.worker;
        unrecorded += named ? 0 : 1;
    };
    fixture.log.up = true;
    fixture.runFor(seconds(3));
    cr_assert_eq(unrecorded, 0U, "%zu unrecorded", unrecorded);
    cr_assert_eq(fixture.workers.starts.size(), 250U, "%zu starts", fixture.workers.starts.size());
}

/* The answer of the append is lost, and the worker goes meanwhile: the record that was stored names
   a worker that has nothing, and the next one must be stored as well. */
Test(AssignmentRecord, aTaskWhoseWorkerGoesAfterALostAnswerStartsOnceOnRecord)
{
    AssigningOwner fixture;
    fixture.log.up = true;
    fixture.log.losesAppendAnswers = true;
    fixture.runFor(milliseconds(300));
    cr_assert(fixture.storedTask().assignedTo == TargetId("w1"));
    cr_assert_eq(fixture.workers.starts.size(), 0U);
    fixture.listWorker("w2");
    fixture.worker("w1").silent = true;
    fixture.log.losesAppendAnswers = false;
    fixture.runFor(milliseconds(800));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.storedTask().assignedTo == fixture.workers.starts.front().worker);
}

/* The process ends: the owner steps back and returns later with another fencing token. */
Test(AssignmentRecord, anOwnerThatEndedSendsNoStartOfItsFormerTerm)
{
    AssigningOwner fixture;
    fixture.dispatcher.end();
    fixture.log.up = true;
    fixture.begin({}, 5);
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 0U);
    fixture.accept(makeLastingJob("a"));
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert_gt(fixture.workers.starts.front().attempt.attempt, 5000U);
}

/* Removed records would let a successor believe that no former owner's command matters. */
Test(AssignmentRecord, anOwnerThatEndedRemovesNoRecordsInItsNextTerm)
{
    DispatcherFixture fixture;
    StepJobTable table = makeJobTable(makeLastingJob("a"), { TargetId("w1") }, fixture.clock);
    const OwnerRecord former { 2, "m#1", false };
    table.applyJobRecord({ records::ownerKey(2), records::encode(former), 1 }, fixture.clock);
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.begin(table);
    fixture.log.up = false;
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.decisions.lines[Event::FormerOwnersSettled].size(), 1U);
    fixture.dispatcher.end();
    fixture.worker("w1").silent = true;
    fixture.log.up = true;
    fixture.begin(std::move(table), 4);
    fixture.listWorker("w1");
    fixture.runFor(seconds(2));
    cr_assert(fixture.obsoleteRecords.empty());
}

/* Nothing was sent, so the end of the worker's process is no crash of the task's. */
Test(AssignmentRecord, theEndOfAProcessBeforeTheStartWasSentIsNotCounted)
{
    AssigningOwner fixture;
    fixture.worker("w1").silent = true;
    fixture.processes.list = WorkerProcesses { { TargetId("w2") }, 1 };
    fixture.listWorker("w2");
    fixture.runFor(seconds(2));
    fixture.log.up = true;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
    cr_assert_eq(fixture.startsOn("w1"), 0U);
    cr_assert(fixture.storedTask().crashedAttempts.empty());
}

/* A worker that does not answer keeps no room for a task that it was never sent. */
Test(AssignmentRecord, aSilentWorkerKeepsNoRoomForATaskThatWasNotSent)
{
    AssigningOwner fixture;
    cr_assert_eq(fixture.firstWorker().runs.size(), 1U);
    fixture.worker("w1").silent = true;
    fixture.runFor(seconds(1));
    cr_assert(fixture.firstWorker().runs.empty());
    cr_assert_eq(fixture.firstWorker().committed.cpuMilli, 0);
    fixture.worker("w1").silent = false;
    fixture.log.up = true;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
}

/* The answer to a start overtakes the end of its run and the entry of its worker, which is
   withdrawn and written anew: the number of starts in flight there fell below zero, and it got no
   more. */
Test(AssignmentRecord, aLateAnswerToAStartDoesNotBarItsWorker)
{
    DispatcherFixture fixture;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.worker("w1").keepsStartAnswers = true;
    fixture.accept(makeJob("ends", 1));
    fixture.runFor(milliseconds(50));
    cr_assert_eq(fixture.startsOn("w1"), 1U);
    fixture.workers.endRun(TargetId("w1"), fixture.workers.starts.front().attempt,
                           EndKind::Succeeded);
    fixture.runFor(milliseconds(50));
    fixture.dispatcher.workerUnlisted(TargetId("w1"), RemovalCause::Unknown);
    fixture.runFor(milliseconds(100));
    cr_assert(fixture.dispatcher.runs().workers().empty());
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(200));
    fixture.log.up = false;
    fixture.accept(makeLastingJob("a"));
    fixture.runFor(milliseconds(50));
    fixture.worker("w1").keepsStartAnswers = false;
    fixture.workers.answerKeptStarts();
    fixture.runFor(tickInterval);
    WorkerEntry draining = makeWorkerEntry("w1");
    draining.draining = true;
    fixture.dispatcher.workerListed(draining);
    fixture.runFor(milliseconds(50));
    cr_assert_eq(fixture.decisions.lines[Event::StartRefused].size(), 1U);
    fixture.listWorker("w1");
    fixture.log.up = true;
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.startsOn("w1"), 2U, "%zu starts", fixture.startsOn("w1"));
}

/* All tasks of a gang start together: one that waits for a silent worker holds the others. */
Test(AssignmentRecord, aLastingGangWaitsWhileOneOfItsTasksMayRunOnASilentWorker)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    StepJob job = makeLastingJob("a", 2);
    job.steps[0].gang = true;
    StepJobTable table = makeJobTable(job, { TargetId("w1"), TargetId("w2") }, fixture.clock);
    const OwnerRecord former { 2, "m#1", true };
    table.applyJobRecord({ records::ownerKey(2), records::encode(former), 1 }, fixture.clock);
    JobProgress progress;
    progress.tasks.resize(2);
    progress.tasks[0].assignedTo = TargetId("w1");
    progress.tasks[1].index = 1;
    progress.tasks[1].assignedTo = TargetId("w2");
    table.applyProgress({ records::jobKey(job.id), records::encode(progress), 2 });
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 0U);
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.workers.starts.size(), 2U);
}

/* Of several tasks of a job, only the one on the silent worker waits. */
Test(AssignmentRecord, theTasksOfAJobWaitEachForItsOwnWorker)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    const StepJob job = makeLastingJob("a", 2);
    StepJobTable table = makeJobTable(job, { TargetId("w1"), TargetId("w2") }, fixture.clock);
    const OwnerRecord former { 2, "m#1", true };
    table.applyJobRecord({ records::ownerKey(2), records::encode(former), 1 }, fixture.clock);
    JobProgress progress;
    progress.tasks.resize(2);
    progress.tasks[0].assignedTo = TargetId("w1");
    progress.tasks[1].index = 1;
    progress.tasks[1].assignedTo = TargetId("w2");
    table.applyProgress({ records::jobKey(job.id), records::encode(progress), 2 });
    fixture.begin(std::move(table));
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert_eq(fixture.workers.starts.front().attempt.task.index, 0U);
    fixture.runFor(formerOrdersLifetime);
    cr_assert_eq(fixture.workers.starts.size(), 2U);
}

/* Crash counts and the worker share a row; a row with the worker alone must not shift. */
Test(AssignmentRecord, aRowReadsAsItWasWritten)
{
    JobProgress progress;
    progress.tasks.resize(2);
    progress.tasks[0].assignedTo = TargetId("w1");
    progress.tasks[1].index = 1;
    progress.tasks[1].assignedTo = TargetId("w2");
    progress.tasks[1].crashedAttempts = { 7, 8 };
    progress.tasks[1].youngCrashes = { 8 };
    const JobProgress read = records::decodeProgress("job/a", records::encode(progress));
    cr_assert(read.tasks.at(0).assignedTo == TargetId("w1"));
    cr_assert(read.tasks.at(0).crashedAttempts.empty());
    cr_assert(read.tasks.at(1).assignedTo == TargetId("w2"));
    cr_assert(read.tasks.at(1).crashedAttempts == progress.tasks[1].crashedAttempts);
    cr_assert(read.tasks.at(1).youngCrashes == progress.tasks[1].youngCrashes);
}

Test(AssignmentRecord, anOwnerSaysInItsOwnRecordThatItRecordsAssignments)
{
    ManualClock clock;
    FakeLog log;
    NullDecisionLog decisions;
    RecordsView view(clock, log, decisions);
    Takeover takeover(clock, log, view, decisions);
    takeover.begin(
            4, "m#2", [](LogOffset) {}, [] {});
    log.deliver();
    const std::string own = log.newestValue(LogStream::Jobs, records::ownerKey(4));
    const std::string newest = log.newestValue(LogStream::Jobs, records::newestOwnerKey());
    cr_assert(records::decodeOwner(own).recordsAssignments);
    cr_assert(records::decodeOwner(newest).recordsAssignments);
}

/* One owner of an earlier version among several is enough to wait for all workers. */
Test(AssignmentRecord, allOwnersThatAreWaitedForMustRecordAssignments)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1", true } }, { 2, { 2, "m2", false } } }, Roster { {}, 2, {} },
                 termOf(3));
    cr_assert_not(owners.recordAssignments());
    owners.begin({ { 1, { 1, "m1", true } }, { 2, { 2, "m2", true } } }, Roster { {}, 2, {} },
                 termOf(3));
    cr_assert(owners.recordAssignments());
}

/* Of an owner that only a resignation names, or a roster of an earlier version, nothing is known.
 */
Test(AssignmentRecord, ownersOfWhichNothingIsKnownCountAsOfAnEarlierVersion)
{
    FormerOwners owners;
    const std::map<std::uint64_t, OwnerRecord> records { { 2, { 2, "m2", true } } };
    owners.begin(records, Roster { {}, 2, {} }, termOf(3));
    owners.resigned({ 2, { { 1, milliseconds(9'000) } } }, start, milliseconds(5'000));
    cr_assert_not(owners.recordAssignments());
    owners.begin(records, Roster { {}, 0, {} }, termOf(3));
    cr_assert_not(owners.recordAssignments());
    owners.begin(records, Roster { {}, 2, { { 1, "m1", false } } }, termOf(3));
    cr_assert_not(owners.recordAssignments());
}

/* Owner 1's own record may be gone; the roster of owner 2 tells its successor. */
Test(AssignmentRecord, theRosterPassesOnWhetherFormerOwnersRecordAssignments)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1", true } }, { 2, { 2, "m2", false } } }, Roster { {}, 2, {} },
                 termOf(3));
    const Roster written { {}, 3, owners.awaitedOwners(start) };
    const Roster read = records::decodeRoster(records::encode(written));
    cr_assert_eq(read.formerOwners.size(), 2U);
    cr_assert(read.formerOwners.at(0).recordsAssignments);
    cr_assert_not(read.formerOwners.at(1).recordsAssignments);
}

/* A successor waits for an owner by its record, which must outlast the wait of that owner itself.
 */
Test(AssignmentRecord, anOwnerRemovesTheRecordsOfItsPredecessorsAndKeepsItsOwn)
{
    DispatcherFixture fixture;
    StepJobTable table = makeJobTable(makeLastingJob("a"), { TargetId("w1") }, fixture.clock);
    for (const std::uint64_t token : { 2U, 3U }) {
        const OwnerRecord owner { token, "m#" + std::to_string(token), true };
        table.applyJobRecord({ records::ownerKey(token), records::encode(owner), 1 },
                             fixture.clock);
    }
    fixture.begin(std::move(table), 3);
    fixture.listWorker("w1");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.obsoleteRecords.size(), 1U);
    cr_assert_eq(fixture.obsoleteRecords.front().key, records::ownerKey(2));
}
