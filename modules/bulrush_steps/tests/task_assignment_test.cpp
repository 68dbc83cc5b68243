#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

StepJob makeLastingJob(const char *id)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    return job;
}

/** Returns what a new owner reads: a job, a roster of w1 and w2, and the record of owner 2.
    @param assignedTo the worker on record for the job's only task; null for none */
StepJobTable makeRecords(const StepJob &job, const char *assignedTo, const Clock &clock,
                         bool ownerRecordsAssignments = true)
{
    StepJobTable table = makeJobTable(job, { TargetId("w1"), TargetId("w2") }, clock);
    const OwnerRecord owner { 2, "m#1", ownerRecordsAssignments };
    table.applyJobRecord({ records::ownerKey(2), records::encode(owner), 1 }, clock);
    if (assignedTo != nullptr) {
        JobProgress progress;
        progress.tasks.push_back({});
        progress.tasks.front().assignedTo = TargetId(assignedTo);
        table.applyProgress({ records::jobKey(job.id), records::encode(progress), 2 });
    }
    return table;
}

/** A new owner that w1 answers and w2 does not. */
class SecondOwner : public DispatcherFixture
{
public:
    explicit SecondOwner(const StepJob &job, const char *assignedTo, bool recordsAssignments = true)
    {
        this->worker("w2").silent = true;
        this->begin(makeRecords(job, assignedTo, this->clock, recordsAssignments));
        this->listWorker("w1");
        this->listWorker("w2");
    }

    std::size_t startsWithin(milliseconds span)
    {
        this->runFor(span);
        return this->workers.starts.size();
    }
};

/** An owner without predecessors, with one worker. A job is accepted while the store is down. */
class OwnerWithoutStore : public DispatcherFixture
{
public:
    OwnerWithoutStore()
    {
        this->begin({});
        this->listWorker("w1");
        this->runFor(milliseconds(300));
        this->log.up = false;
        this->accept(makeLastingJob("a"));
        this->runFor(milliseconds(300));
    }

    TaskProgress storedTask()
    {
        const std::string key = records::jobKey(JobId("a"));
        const std::string value = this->log.newestValue(LogStream::Progress, key);
        const JobProgress progress =
                value.empty() ? JobProgress() : records::decodeProgress(key, value);
        return progress.tasks.empty() ? TaskProgress() : progress.tasks.front();
    }
};

} // namespace

Test(TaskAssignment, aLastingTaskIsNotStartedBeforeItsWorkerIsOnRecord)
{
    OwnerWithoutStore fixture;
    cr_assert(fixture.workers.starts.empty());
    fixture.log.up = true;
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.storedTask().assignedTo == TargetId("w1"));
}

Test(TaskAssignment, aLastingTaskThatMayRunOnASilentWorkerWaits)
{
    SecondOwner fixture(makeLastingJob("a"), "w2");
    cr_assert_eq(fixture.startsWithin(formerOrdersLifetime - seconds(1)), 0U);
    cr_assert_eq(fixture.startsWithin(seconds(2)), 1U);
}

Test(TaskAssignment, aLastingTaskOfAnotherWorkerDoesNotWaitForASilentOne)
{
    SecondOwner fixture(makeLastingJob("a"), "w1");
    cr_assert_eq(fixture.startsWithin(milliseconds(300)), 1U);
}

Test(TaskAssignment, aLastingTaskThatWasNeverAssignedDoesNotWait)
{
    SecondOwner fixture(makeLastingJob("a"), nullptr);
    cr_assert_eq(fixture.startsWithin(milliseconds(300)), 1U);
}

/* A former owner of an earlier version started tasks without a record of their workers. */
Test(TaskAssignment, afterAnOwnerOfAnEarlierVersionALastingTaskWaitsForAllWorkers)
{
    SecondOwner fixture(makeLastingJob("a"), "w1", false);
    cr_assert_eq(fixture.startsWithin(formerOrdersLifetime - seconds(1)), 0U);
    cr_assert_eq(fixture.startsWithin(seconds(2)), 1U);
}

/* The worker of a task that ends is not on record. */
Test(TaskAssignment, aTaskThatEndsWaitsForAllWorkers)
{
    SecondOwner fixture(makeJob("a", 1), nullptr);
    cr_assert_eq(fixture.startsWithin(formerOrdersLifetime - seconds(1)), 0U);
    cr_assert_eq(fixture.startsWithin(seconds(2)), 1U);
}

Test(TaskAssignment, aWorkerThatDrainsBeforeItIsOnRecordDoesNotGetTheTask)
{
    OwnerWithoutStore fixture;
    WorkerEntry draining = makeWorkerEntry("w1");
    draining.draining = true;
    fixture.dispatcher.workerListed(draining);
    fixture.listWorker("w2");
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.startsOn("w1"), 0U);
    cr_assert_eq(fixture.startsOn("w2"), 1U);
    cr_assert(fixture.storedTask().assignedTo == TargetId("w2"));
}

Test(TaskAssignment, aTaskCancelledBeforeItsWorkerIsOnRecordIsNotStarted)
{
    OwnerWithoutStore fixture;
    fixture.cancel("a");
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.workers.starts.empty());
    cr_assert(fixture.dispatcher.runs().workers().at(TargetId("w1")).runs.empty());
}

/* The ownership expires while the record is stored: another owner may have started the task. */
Test(TaskAssignment, anOwnerWhoseOwnershipExpiredDoesNotStartAnAssignedTask)
{
    OwnerWithoutStore fixture;
    fixture.owner = false;
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.workers.starts.empty());
}

/* The worker's process restarts before the start request was sent to it. */
Test(TaskAssignment, aCrashBeforeTheStartWasSentIsNotCounted)
{
    OwnerWithoutStore fixture;
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(milliseconds(300));
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.storedTask().crashedAttempts.empty());
}

/* An earlier version started the task without a record. If the records of former owners were
   removed first, a successor would start the task although it runs. */
Test(TaskAssignment, aRunThatIsFoundIsOnRecordBeforeTheRecordsOfFormerOwnersAreRemoved)
{
    DispatcherFixture fixture;
    const AttemptRef running { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[running] = { running, "", 30, 0.0 };
    fixture.begin(makeRecords(makeLastingJob("a"), nullptr, fixture.clock, false));
    fixture.log.up = false;
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.decisions.lines[Event::FormerOwnersSettled].size(), 1U);
    cr_assert(fixture.obsoleteRecords.empty());
    fixture.log.up = true;
    fixture.runFor(milliseconds(500));
    cr_assert_eq(fixture.obsoleteRecords.size(), 1U);
    const std::string key = records::jobKey(JobId("a"));
    const JobProgress progress =
            records::decodeProgress(key, fixture.log.newestValue(LogStream::Progress, key));
    cr_assert(progress.tasks.at(0).assignedTo == TargetId("w1"));
}

/* Callers ask how many jobs have not begun; a worker that is only on record has begun nothing. */
Test(TaskAssignment, aJobWhoseTaskIsOnlyAssignedStillWaits)
{
    const ManualClock clock;
    const StepJobTable table = makeRecords(makeLastingJob("a"), "w1", clock);
    cr_assert_not(table.find(JobId("a"))->started);
}

Test(TaskAssignment, rowsOfEarlierVersionsAreRead)
{
    const JobProgress old = records::decodeProgress(
            "job/a", R"({"schema":1,"succeeded":false,"failed":false,"tasks":[[0,0,1,true,[]]]})");
    cr_assert_not(old.tasks.at(0).assignedTo.has_value());
    cr_assert_not(records::decodeOwner(R"({"schema":1,"fencingToken":2})").recordsAssignments);
    const Roster roster = records::decodeRoster(
            R"({"schema":1,"workers":[],"fencingToken":3,"formerOwners":[[2,"m"]]})");
    cr_assert_not(roster.formerOwners.at(0).recordsAssignments);
}
