#include "DispatcherFixture.h"

#include "bulrush_steps/model/JobLimits.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Two of these do not fit on one worker. */
constexpr std::int64_t largeCpu = 40'000;

/** Longer than a long-running task yields to others. */
constexpr seconds longWait { 3 };

StepJob makeLongRunningJob(const char *id, const Clock &clock)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    job.steps[0].size.cpuMilli = largeCpu;
    job.acceptedAt = clock.calendarMillis();
    return job;
}

/** Two long-running tasks, of job "a", the older one, and of job "b", that have lost their workers.
    There is room for neither until a worker is listed. */
class TwoTasks : public DispatcherFixture
{
public:
    TwoTasks()
        : jobA(makeJobThatStays(clock))
        , jobB(makeJobAfter(jobA, clock))
    {
        this->begin({});
        this->listWorker("w1");
        this->runFor(milliseconds(300));
        this->accept(this->jobA);
        this->runFor(seconds(2));
        this->listWorker("w2");
        this->accept(this->jobB);
        this->runFor(longWait);
        cr_assert_eq(this->startsOn("w1"), 1U);
        cr_assert_eq(this->startsOn("w2"), 1U);
    }

    /** Ends the run of the only worker of a task, which takes no others. */
    void lose(const char *worker)
    {
        this->drain(worker);
        const AttemptRef running = this->worker(worker).running.begin()->first;
        this->workers.endRun(TargetId(worker), running, EndKind::Stopped);
    }

    void drain(const char *worker)
    {
        WorkerEntry entry = makeWorkerEntry(worker);
        entry.draining = true;
        this->dispatcher.workerListed(entry);
    }

    /** Adds a worker that takes no tasks until open(). */
    void listClosedWorker(const char *worker)
    {
        this->drain(worker);
        this->runFor(milliseconds(300));
    }

    /** Has a task assigned to a worker, while the store does not confirm it. */
    void open(const char *worker)
    {
        this->listWorker(worker);
        this->runFor(milliseconds(300));
        const Worker &opened = this->dispatcher.runs().workers().at(TargetId(worker));
        cr_assert_eq(opened.runs.size(), 1U);
        cr_assert(opened.runs.begin()->second.phase == RunPhase::Assigned);
        cr_assert_eq(this->startsOn(worker), 0U);
    }

    /** Has both tasks lose their workers, that of "b" first. */
    void loseBoth()
    {
        const std::size_t before = this->workers.starts.size();
        this->lose("w2");
        this->runFor(longWait);
        this->lose("w1");
        this->runFor(longWait);
        cr_assert_eq(this->workers.starts.size(), before);
    }

    /** Has a new owner take over, which reads the newest records. */
    void changeOwner()
    {
        this->dispatcher.end();
        this->begin(this->readRecords(), ++this->token);
        for (const auto &[worker, fake] : this->workers.workers) {
            this->drain(worker.name().c_str());
        }
        this->runFor(milliseconds(200));
    }

    StepJobTable readRecords()
    {
        StepJobTable table;
        const OwnerRecord former { this->token - 1, "m#1", true };
        table.applyJobRecord({ records::ownerKey(former.fencingToken), records::encode(former), 1 },
                             this->clock);
        for (const StepJob *job : { &this->jobA, &this->jobB }) {
            table.applyJobRecord({ records::jobKey(job->id), records::encode(*job), 1 },
                                 this->clock);
            this->applyNewest(table, records::jobKey(job->id));
        }
        this->applyNewest(table, records::rosterKey());
        return table;
    }

    /** Returns the job of the task that gets the room of a worker that joins. */
    std::string jobThatGets(const char *worker)
    {
        this->listWorker(worker);
        this->runFor(seconds(1));
        cr_assert_eq(this->startsOn(worker), 1U, "%zu starts", this->startsOn(worker));
        return this->workers.starts.back().attempt.task.job.name();
    }

    TaskProgress storedTask(const char *job)
    {
        const std::string key = records::jobKey(JobId(job));
        const std::string value = this->log.newestValue(LogStream::Progress, key);
        return records::decodeProgress(key, value).tasks.at(0);
    }

    StepJob jobA;
    StepJob jobB;
    std::uint64_t token = 3;

private:
    /** Returns a job of which one step never finds a worker, so that the job always waits. */
    static StepJob makeJobThatStays(const Clock &clock)
    {
        StepJob job = makeLongRunningJob("a", clock);
        job.steps.push_back(job.steps.front());
        job.steps.back().requiredLabel = "none";
        return job;
    }

    static StepJob makeJobAfter(const StepJob &job, const Clock &clock)
    {
        StepJob later = makeLongRunningJob("b", clock);
        later.acceptedAt = job.acceptedAt + 2000;
        return later;
    }

    void applyNewest(StepJobTable &table, const std::string &key)
    {
        table.applyProgress({ key, this->log.newestValue(LogStream::Progress, key), 2 });
    }
};

/** Returns the progress of one assigned task as a new owner reads it from a row. */
std::optional<UnixMillis> waitInRow(const std::string &endOfRow)
{
    const std::string value = R"({"schema":1,"succeeded":false,"failed":false,)"
                              R"("tasks":[[0,0,0,false,[],[],[],"w1")"
            + endOfRow + "]]}";
    const TaskProgress task = records::decodeProgress("job/a", value).tasks.at(0);
    cr_assert(task.assignedTo == TargetId("w1"));
    return task.waitsSince;
}

/** Returns the wait that a new owner takes from a record.
    @param age of the job */
Duration readWait(UnixMillis waitsSince, const Clock &clock, milliseconds age)
{
    StepJob job = makeLongRunningJob("a", clock);
    job.acceptedAt -= age.count();
    StepJobTable table = makeJobTable(job, {}, clock);
    JobProgress progress;
    progress.tasks.resize(1);
    progress.tasks.front().assignedTo = TargetId("w1");
    progress.tasks.front().waitsSince = waitsSince;
    table.applyProgress({ records::jobKey(job.id), records::encode(progress), 2 });
    JobEntry &entry = *table.find(job.id);
    entry.waitsSince = clock.now() - maxDeferral;
    entry.readRecordedWaits(clock);
    return entry.waitOf(entry.task({ job.id, 0, 0, 0 }), clock.now());
}

} // namespace

/* The job's age or wait counted instead of the task's. */
Test(TaskWait, aTaskLostFirstGetsRoomBeforeOneOfAnOlderJobThatWasLostLater)
{
    TwoTasks fixture;
    fixture.loseBoth();
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
    cr_assert_eq(fixture.jobThatGets("w4"), "a");
}

/* Each new owner took all tasks to have waited equally long. */
Test(TaskWait, aNewOwnerGivesRoomToTheTaskThatWasLostFirst)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.changeOwner();
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
    cr_assert_eq(fixture.jobThatGets("w4"), "a");
}

/* Nodes restart in turn: the second new owner knows only what the first one kept on record. */
Test(TaskWait, aWaitOutlastsSeveralOwners)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.changeOwner();
    fixture.changeOwner();
    fixture.changeOwner();
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
}

/* The wait of a task began anew with a start that was never carried out. */
Test(TaskWait, aStartThatIsNotSentDoesNotBeginTheWaitAnew)
{
    TwoTasks fixture;
    fixture.listClosedWorker("w3");
    fixture.loseBoth();
    fixture.log.up = false;
    fixture.open("w3");
    fixture.drain("w3");
    fixture.runFor(milliseconds(300));
    cr_assert_not(fixture.decisions.lines[Event::StartRefused].empty());
    fixture.log.up = true;
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.jobThatGets("w4"), "b");
}

/* The record of an assignment dropped the wait, and the owner changed before the start was sent. */
Test(TaskWait, anAssignmentWhoseStartIsNotSentLeavesTheWaitOnRecord)
{
    TwoTasks fixture;
    fixture.listClosedWorker("w3");
    fixture.loseBoth();
    fixture.log.losesAppendAnswers = true;
    fixture.open("w3");
    fixture.runFor(milliseconds(300));
    cr_assert(fixture.storedTask("b").assignedTo == TargetId("w3"));
    fixture.log.losesAppendAnswers = false;
    fixture.changeOwner();
    cr_assert_eq(fixture.jobThatGets("w4"), "b");
}

/* A task that is assigned at once has no wait on record; a discarded start must put it there. */
Test(TaskWait, aStartThatIsNotSentAfterAShortWaitPutsTheWaitOnRecord)
{
    TwoTasks fixture;
    fixture.listWorker("w3");
    fixture.runFor(milliseconds(300));
    fixture.log.up = false;
    fixture.lose("w2");
    fixture.runFor(longWait);
    fixture.drain("w3");
    fixture.runFor(milliseconds(300));
    cr_assert_not(fixture.decisions.lines[Event::StartRefused].empty());
    fixture.log.up = true;
    fixture.lose("w1");
    fixture.runFor(longWait);
    cr_assert_eq(fixture.workers.starts.size(), 2U);
    fixture.changeOwner();
    cr_assert_eq(fixture.jobThatGets("w4"), "b");
}

/* A worker refused the start, whose room is still taken there. */
Test(TaskWait, aRefusedStartDoesNotBeginTheWaitAnew)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.worker("w3").refusesStarts = true;
    fixture.listWorker("w3");
    fixture.runFor(milliseconds(300));
    fixture.drain("w3");
    cr_assert_not(fixture.decisions.lines[Event::StartRefused].empty());
    fixture.runFor(milliseconds(300));
    cr_assert_eq(fixture.jobThatGets("w4"), "b");
}

/* A task that runs again kept its old wait on record, and was lost while nobody owned. */
Test(TaskWait, aConfirmedRunTakesTheWaitOffTheRecord)
{
    TwoTasks fixture;
    fixture.loseBoth();
    cr_assert(fixture.storedTask("b").waitsSince.has_value());
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
    cr_assert_not(fixture.storedTask("b").waitsSince.has_value());
    cr_assert(fixture.storedTask("b").assignedTo == TargetId("w3"));
    cr_assert(fixture.storedTask("a").waitsSince.has_value());
}

/* The owner ended just after a start, so the record still had the wait of a task that runs. */
Test(TaskWait, aRunThatANewOwnerFindsTakesTheWaitOffTheRecord)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.workers.onStart = [&fixture] { fixture.log.up = false; };
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
    cr_assert(fixture.storedTask("b").waitsSince.has_value());
    fixture.log.up = true;
    fixture.dispatcher.end();
    fixture.begin(fixture.readRecords(), ++fixture.token);
    fixture.listWorker("w3");
    fixture.runFor(milliseconds(500));
    cr_assert_not(fixture.storedTask("b").waitsSince.has_value());
    cr_assert_eq(fixture.workers.starts.size(), 3U);
}

/* The acknowledgement of an end would wait for a record that it does not need. */
Test(TaskWait, anEndIsAcknowledgedWhileTheStoreIsDown)
{
    TwoTasks fixture;
    fixture.log.up = false;
    fixture.lose("w2");
    fixture.runFor(seconds(1));
    cr_assert_eq(fixture.worker("w2").acknowledged, 1U);
}

/* The clock of a new owner is behind: a wait that has not begun yet would make tasks yield anew. */
Test(TaskWait, tasksDoNotYieldAgainUnderAnOwnerWhoseClockIsBehind)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.clock.stepCalendar(-seconds(8));
    fixture.changeOwner();
    StepJob urgent = makeJob("urgent", 1);
    urgent.steps[0].size.cpuMilli = largeCpu;
    urgent.acceptedAt = fixture.clock.calendarMillis();
    fixture.accept(urgent);
    cr_assert_neq(fixture.jobThatGets("w3"), "urgent");
}

/* The clock of a new owner is behind by more than any job is old. */
Test(TaskWait, tasksStartUnderAnOwnerWhoseClockIsFarBehind)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.clock.stepCalendar(-seconds(3600));
    fixture.changeOwner();
    const std::string first = fixture.jobThatGets("w3");
    cr_assert_neq(fixture.jobThatGets("w4"), first);
}

/* The clock of a new owner is ahead by more than any job is old. */
Test(TaskWait, theOrderOfWaitsStaysUnderAnOwnerWhoseClockIsAhead)
{
    TwoTasks fixture;
    fixture.loseBoth();
    fixture.clock.stepCalendar(seconds(3600));
    fixture.changeOwner();
    cr_assert_eq(fixture.jobThatGets("w3"), "b");
}

/* A time from a stepped clock, or of another writer, became a wait out of bounds. */
Test(TaskWait, aRecordedWaitIsNoLongerThanTheJobIsOld)
{
    const ManualClock clock;
    const UnixMillis now = clock.calendarMillis();
    cr_assert(readWait(now - 4000, clock, seconds(9)) == seconds(4));
    cr_assert(readWait(now, clock, seconds(9)) == seconds(0));
    cr_assert(readWait(now - 10'000, clock, seconds(9)) == seconds(9));
    cr_assert(readWait(0, clock, seconds(9)) == seconds(9));
    cr_assert(readWait(now + 1000, clock, seconds(9)) == maxDeferral);
    cr_assert(readWait(maxUnixMillis, clock, seconds(9)) == maxDeferral);
}

/* The wait follows columns that may be empty; a shifted one would be read as another. */
Test(TaskWait, aRowReadsAsItWasWritten)
{
    JobProgress progress;
    progress.tasks.resize(3);
    progress.tasks[0].assignedTo = TargetId("w1");
    progress.tasks[0].waitsSince = 1'700'000'000'123;
    progress.tasks[1].assignedTo = TargetId("w2");
    progress.tasks[1].crashedAttempts = { 7 };
    progress.tasks[2].youngCrashes = { 8 };
    const JobProgress read = records::decodeProgress("job/a", records::encode(progress));
    cr_assert(read.tasks.at(0).assignedTo == TargetId("w1"));
    cr_assert(read.tasks.at(0).waitsSince == progress.tasks[0].waitsSince);
    cr_assert(read.tasks.at(1).crashedAttempts == progress.tasks[1].crashedAttempts);
    cr_assert_not(read.tasks.at(1).waitsSince.has_value());
    cr_assert(read.tasks.at(2).youngCrashes == progress.tasks[2].youngCrashes);
    cr_assert_not(read.tasks.at(2).assignedTo.has_value());
}

/* A row of an earlier version, or one malformed wait, would cost the rest of the record. */
Test(TaskWait, aRowWithoutAUsableWaitKeepsItsWorker)
{
    cr_assert_not(waitInRow("").has_value());
    cr_assert(waitInRow(",1700000000123") == 1'700'000'000'123);
    cr_assert(waitInRow(",1700000000123,[1]") == 1'700'000'000'123);
    for (const char *malformed : { ",\"x\"", ",null", ",[]", ",-5", ",1.5", ",18446744073709551615",
                                   ",9223372036854775807", ",1e300" }) {
        cr_assert_not(waitInRow(malformed).has_value(), "%s", malformed);
    }
}
