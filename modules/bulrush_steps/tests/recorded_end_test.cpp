#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <string>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr std::uint64_t firstToken = 3;
const AttemptRef formerRun { { JobId("a"), 0, 0, 0 }, 2001 };

StepJob makeLastingJob(const Clock &clock)
{
    StepJob job = makeJob("a", 1);
    job.steps[0].runsIndefinitely = true;
    job.acceptedAt = clock.calendarMillis();
    return job;
}

/** Owners that follow one another, each of which reads what the former ones have put on record. The
    list of VMs cannot be read. */
class OwnersOnRecord : public DispatcherFixture
{
public:
    OwnersOnRecord()
        : job(makeLastingJob(clock))
    {
    }

    /** Begins as the first owner, which starts the task on w1, the only worker. */
    void startOnFirstWorker()
    {
        this->begin({}, firstToken);
        this->listWorker("w1");
        this->runFor(milliseconds(300));
        this->accept(this->job);
        this->runFor(seconds(1));
        cr_assert_eq(this->startsOn("w1"), 1U);
    }

    void drain(const char *worker)
    {
        WorkerEntry entry = makeWorkerEntry(worker);
        entry.draining = true;
        this->dispatcher.workerListed(entry);
    }

    void endRunsOn(const char *worker)
    {
        const AttemptRef running = this->worker(worker).running.begin()->first;
        this->workers.endRun(TargetId(worker), running, EndKind::Stopped);
    }

    /** Has a new owner take over, whose list of workers begins empty. */
    void changeOwner()
    {
        this->dispatcher.end();
        ++this->token;
        StepJobTable table;
        const OwnerRecord former { this->token - 1, "m#1", true };
        table.applyJobRecord({ records::ownerKey(former.fencingToken), records::encode(former), 1 },
                             this->clock);
        table.applyJobRecord({ records::jobKey(this->job.id), records::encode(this->job), 1 },
                             this->clock);
        for (const std::string &key : { records::jobKey(this->job.id), records::rosterKey() }) {
            table.applyProgress({ key, this->log.newestValue(LogStream::Progress, key), 2 });
        }
        this->begin(std::move(table), this->token);
    }

    TaskProgress storedTask()
    {
        const std::string key = records::jobKey(this->job.id);
        const JobProgress progress =
                records::decodeProgress(key, this->log.newestValue(LogStream::Progress, key));
        return progress.tasks.empty() ? TaskProgress() : progress.tasks.front();
    }

    StepJob job;
    std::uint64_t token = firstToken;
};

/** Returns what an owner reads of a task that is assigned to a worker and waits. */
StepJobTable makeWaitingTask(const StepJob &job, const char *worker, const Clock &clock)
{
    StepJobTable table = makeJobTable(job, { TargetId("w1"), TargetId("w2") }, clock);
    const OwnerRecord former { 2, "m#1", true };
    table.applyJobRecord({ records::ownerKey(2), records::encode(former), 1 }, clock);
    JobProgress progress;
    progress.tasks.resize(1);
    progress.tasks.front().assignedTo = TargetId(worker);
    progress.tasks.front().waitsSince = clock.calendarMillis();
    table.applyProgress({ records::jobKey(job.id), records::encode(progress), 2 });
    return table;
}

} // namespace

/* The worker ends its task and leaves, the owner that knew of the end goes, and the list of VMs
   cannot be read: the successor waited for the worker for as long as for a silent one. */
Test(RecordedEnd, aTaskWhoseEndAFormerOwnerKnewDoesNotWaitForItsWorker)
{
    OwnersOnRecord fixture;
    fixture.startOnFirstWorker();
    fixture.drain("w1");
    fixture.endRunsOn("w1");
    fixture.runFor(milliseconds(300));
    fixture.worker("w1").silent = true;
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* As above, with a second owner between that finds no room for the task. */
Test(RecordedEnd, anEndOutlastsSeveralOwners)
{
    OwnersOnRecord fixture;
    fixture.startOnFirstWorker();
    fixture.drain("w1");
    fixture.endRunsOn("w1");
    fixture.runFor(milliseconds(300));
    fixture.worker("w1").silent = true;
    fixture.changeOwner();
    fixture.runFor(seconds(1));
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* The end reaches the worker's list only after the owner that had the run has gone: the next owner
   hears of it in the worker's first answer, while it still waits for that worker. */
Test(RecordedEnd, anEndThatANewOwnerHearsFirstIsOnRecordForTheNext)
{
    OwnersOnRecord fixture;
    fixture.startOnFirstWorker();
    fixture.drain("w1");
    fixture.changeOwner();
    fixture.endRunsOn("w1");
    fixture.drain("w1");
    fixture.runFor(milliseconds(300));
    fixture.worker("w1").silent = true;
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* The start is discarded as the worker drains before its record is confirmed as stored. */
Test(RecordedEnd, aTaskWhoseStartWasDiscardedDoesNotWaitForItsWorker)
{
    OwnersOnRecord fixture;
    fixture.begin({}, firstToken);
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.log.losesAppendAnswers = true;
    fixture.accept(fixture.job);
    fixture.runFor(milliseconds(300));
    cr_assert(fixture.storedTask().assignedTo == TargetId("w1"));
    fixture.drain("w1");
    fixture.log.losesAppendAnswers = false;
    fixture.runFor(seconds(1));
    cr_assert(fixture.workers.starts.empty());
    fixture.worker("w1").silent = true;
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.startsOn("w2"), 1U);
}

/* The end is not on record: for the successor the run may be alive. */
Test(RecordedEnd, aTaskWhoseEndWasNotStoredWaitsForItsWorker)
{
    OwnersOnRecord fixture;
    fixture.startOnFirstWorker();
    fixture.drain("w1");
    fixture.log.up = false;
    fixture.endRunsOn("w1");
    fixture.runFor(milliseconds(300));
    fixture.worker("w1").silent = true;
    fixture.log.up = true;
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 0U);
}

/* The start was not answered, so it may still be carried out. */
Test(RecordedEnd, aTaskWhoseStartWasNotAnsweredStaysAssigned)
{
    OwnersOnRecord fixture;
    fixture.begin({}, firstToken);
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(300));
    fixture.workers.onStart = [&fixture] { fixture.worker("w1").silent = true; };
    fixture.accept(fixture.job);
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
    cr_assert(fixture.storedTask().assignedTo == TargetId("w1"));
    fixture.changeOwner();
    fixture.listWorker("w2");
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert_eq(fixture.startsOn("w2"), 0U);
}

/* The worker is cut off and its task runs on until its lease is over. */
Test(RecordedEnd, aTaskStaysAssignedUntilTheLeaseOfItsSilentWorkerIsOver)
{
    OwnersOnRecord fixture;
    fixture.startOnFirstWorker();
    fixture.worker("w1").silent = true;
    for (milliseconds passed { 0 }; passed < seconds(8); passed += tickInterval) {
        fixture.runFor(tickInterval);
        const bool alive = fixture.workers.aliveRuns(formerRun.task) > 0;
        cr_assert(!alive || fixture.storedTask().assignedTo == TargetId("w1"));
    }
    cr_assert_not(fixture.storedTask().assignedTo.has_value());
    cr_assert(fixture.storedTask().waitsSince.has_value());
}

/* Another worker lists the end of an earlier run, while the task may run on the one on record. */
Test(RecordedEnd, theEndOfAnEarlierRunLeavesATaskAssigned)
{
    OwnersOnRecord fixture;
    fixture.worker("w1").silent = true;
    fixture.workers.endRun(TargetId("w2"), formerRun, EndKind::Failed);
    fixture.begin(makeWaitingTask(fixture.job, "w1", fixture.clock));
    fixture.listWorker("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.decisions.lines[Event::TaskEnded].size(), 1U);
    cr_assert(fixture.workers.starts.empty());
    fixture.changeOwner();
    fixture.runFor(formerOrdersLifetime - seconds(1));
    cr_assert(fixture.workers.starts.empty());
}

/* The columns before the wait are read by position, by earlier versions too. */
Test(RecordedEnd, aRowOfAWaitingTaskWithoutAWorkerReadsAsItWasWritten)
{
    JobProgress progress;
    progress.tasks.resize(1);
    progress.tasks.front().waitsSince = 1'700'000'000'123;
    progress.tasks.front().crashedAttempts = { 7 };
    const std::string value = records::encode(progress);
    cr_assert_neq(value.find(R"([0,0,0,false,[],[7],[],"",1700000000123])"), std::string::npos,
                  "%s", value.c_str());
    const TaskProgress read = records::decodeProgress("job/a", value).tasks.at(0);
    cr_assert_not(read.assignedTo.has_value());
    cr_assert(read.waitsSince == progress.tasks.front().waitsSince);
    cr_assert(read.crashedAttempts == progress.tasks.front().crashedAttempts);
}
