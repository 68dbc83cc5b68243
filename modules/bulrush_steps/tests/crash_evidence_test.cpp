#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** An owner with four workers, which the list of VMs shows. */
class EvidenceFixture : public DispatcherFixture
{
public:
    EvidenceFixture()
    {
        this->begin({});
        this->processes.list = WorkerProcesses();
        for (const char *name : { "w1", "w2", "w3", "w4" }) {
            this->listWorker(name);
            this->processes.list->running.insert(TargetId(name));
        }
        this->runFor(milliseconds(500));
    }

    /** Passes time until so many starts were sent.
        @returns the worker of the last one */
    TargetId awaitStart(std::size_t count)
    {
        constexpr int maxTicks = 1500;
        for (int tick = 0; tick < maxTicks && this->workers.starts.size() < count; ++tick) {
            this->runFor(tickInterval);
        }
        cr_assert_eq(this->workers.starts.size(), count, "%zu starts", this->workers.starts.size());
        return this->workers.starts.back().worker;
    }

    /** Ends the process of a worker without notice, and starts another one 2 s later. */
    void crash(const TargetId &name)
    {
        this->workers.workers[name].silent = true;
        this->runFor(seconds(2));
        this->workers.restart(name);
        this->runFor(milliseconds(500));
    }

    /** Ends the process of the worker that the newest start was sent to, some time later, and
       starts another one 2 s later. Passes time until the task is started again.
        @returns the worker of that start */
    TargetId crashUnderNewestStart(milliseconds after = milliseconds(50))
    {
        const std::size_t started = this->workers.starts.size();
        const TargetId name = this->workers.starts.back().worker;
        this->runFor(after);
        this->workers.workers[name].silent = true;
        this->runFor(seconds(2));
        this->workers.restart(name);
        return this->awaitStart(started + 1);
    }

    /** Returns the stored progress of the only task of a job. */
    TaskProgress progressOf(const char *job)
    {
        const std::string key = records::jobKey(JobId(job));
        const std::string value = this->log.newestValue(LogStream::Progress, key);
        const JobProgress progress =
                value.empty() ? JobProgress() : records::decodeProgress(key, value);
        return progress.tasks.empty() ? TaskProgress() : progress.tasks.front();
    }
};

StepJob makeLongRunningJob(const char *id)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    return job;
}

} // namespace

/* A start is lost on its way, twice, each time to a worker that crashes for another reason. */
Test(CrashEvidence, aTaskThatNoWorkerIsKnownToHaveStartedIsNotGivenUpAfterTwo)
{
    EvidenceFixture fixture;
    fixture.workers.onStart = [&fixture] {
        fixture.workers.workers[fixture.workers.starts.back().worker].silent = true;
    };
    fixture.accept(makeJob("a", 1));
    for (std::size_t loss = 1; loss <= 2; ++loss) {
        const TargetId worker = fixture.awaitStart(loss);
        fixture.runFor(seconds(3));
        fixture.workers.restart(worker);
    }
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
}

/* Two workers crash for reasons of their own, each soon after it has started the same task. */
Test(CrashEvidence, aTaskUnderWhichTwoWorkersCrashByCoincidenceIsNotShownAsFailed)
{
    EvidenceFixture fixture;
    fixture.accept(makeJob("a", 1));
    fixture.awaitStart(1);
    fixture.crashUnderNewestStart(milliseconds(250));
    const TargetId third = fixture.crashUnderNewestStart(milliseconds(250));
    fixture.runFor(seconds(1));
    fixture.workers.endRun(third, fixture.workers.starts.back().attempt, EndKind::Succeeded);
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Succeeded);
}

/* The workers are gone already when the start is sent to them. */
Test(CrashEvidence, aTaskWhoseStartsWereNeverAnsweredIsNeverGivenUp)
{
    EvidenceFixture fixture;
    fixture.workers.onStart = [&fixture] {
        fixture.workers.workers[fixture.workers.starts.back().worker].silent = true;
    };
    fixture.accept(makeJob("a", 1));
    constexpr std::size_t losses = 6;
    for (std::size_t loss = 1; loss <= losses; ++loss) {
        const TargetId worker = fixture.awaitStart(loss);
        fixture.runFor(seconds(3));
        fixture.workers.restart(worker);
    }
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
    cr_assert(fixture.progressOf("a").crashedAttempts.empty());
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* The worker reports nothing for a second after the start, so its last report shows no age. */
Test(CrashEvidence, aCrashThatMayHaveComeLongAfterTheStartIsNoEvidence)
{
    EvidenceFixture fixture;
    fixture.accept(makeJob("a", 1));
    const TargetId first = fixture.awaitStart(1);
    fixture.workers.workers[first].keepsHolds = true;
    fixture.runFor(seconds(1));
    fixture.workers.workers[first].keepsHolds = false;
    fixture.workers.workers[first].silent = true;
    fixture.workers.failKeptHolds();
    fixture.runFor(seconds(2));
    fixture.workers.restart(first);
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.progressOf("a").crashedAttempts.empty());
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* One worker has just started the tasks of two jobs: its crash may be the doing of either. */
Test(CrashEvidence, aCrashUnderTwoYoungRunsPointsAtNeither)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    fixture.accept(makeLongRunningJob("b"));
    const TargetId shared = fixture.awaitStart(2);
    cr_assert_eq(fixture.workers.starts[0].worker, shared);
    fixture.runFor(milliseconds(50));
    fixture.crash(shared);
    for (const char *job : { "a", "b" }) {
        cr_expect_eq(fixture.progressOf(job).crashedAttempts.size(), 1U);
        cr_expect(fixture.progressOf(job).youngCrashes.empty());
    }
}

/* Workers crash in turn, under young runs of the task and under such that have lasted. */
Test(CrashEvidence, aTaskOfWhichRunsLastBetweenCrashesIsNeverGivenUp)
{
    EvidenceFixture fixture;
    StepJob job = makeJob("a", 1);
    job.steps[0].estimate = seconds(1000);
    fixture.accept(job);
    fixture.awaitStart(1);
    constexpr std::size_t rounds = 9;
    for (std::size_t round = 1; round <= rounds; ++round) {
        if (round % 2 == 0) {
            fixture.runFor(milliseconds(1500));
        }
        fixture.crashUnderNewestStart();
    }
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
}

/* Once, a worker crashed just after it had started the task. The next run lasted, until its worker
   left. */
Test(CrashEvidence, aRunThatLastedTakesTheSuspicionOfALongRunningTaskBack)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(milliseconds(50));
    fixture.crash(first);
    const TargetId second = fixture.awaitStart(2);
    fixture.runFor(seconds(5));
    WorkerEntry entry = makeWorkerEntry(second.name().c_str());
    entry.draining = true;
    fixture.dispatcher.workerListed(entry);
    fixture.runFor(milliseconds(200));
    fixture.workers.workers[second].silent = true;
    fixture.dispatcher.workerUnlisted(second, RemovalCause::Deregistered);
    const TargetId third = fixture.awaitStart(3);
    fixture.runFor(milliseconds(50));
    fixture.crash(third);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
}

/* The worker starts again under its identifier, and its new entry is read before it answers. */
Test(CrashEvidence, anAnnouncedShutdownIsNotCountedAsACrash)
{
    EvidenceFixture fixture;
    StepJob job = makeJob("a", 1);
    job.steps[0].estimate = seconds(1000);
    fixture.accept(job);
    const TargetId worker = fixture.awaitStart(1);
    fixture.runFor(seconds(2));
    WorkerEntry entry = makeWorkerEntry(worker.name().c_str());
    entry.draining = true;
    fixture.dispatcher.workerListed(entry);
    fixture.runFor(seconds(1));
    fixture.workers.workers[worker].silent = true;
    fixture.runFor(milliseconds(200));
    fixture.workers.restart(worker);
    WorkerEntry next = makeWorkerEntry(worker.name().c_str());
    next.processStartedAt = fixture.workers.workers[worker].processStartedAt;
    fixture.dispatcher.workerListed(next);
    fixture.runFor(milliseconds(500));
    cr_assert(fixture.progressOf("a").crashedAttempts.empty());
    cr_assert(fixture.decisions.lines[Event::TaskCrashed].empty());
}

/* The new owner does not know since when the run has been there. */
Test(CrashEvidence, aRunThatANewOwnerFoundIsNotTakenForOneThatHasJustStarted)
{
    DispatcherFixture fixture;
    const AttemptRef former { { JobId("a"), 0, 0, 0 }, 2001 };
    fixture.worker("w1").running[former] = { former, "", 100, 0.0 };
    fixture.begin(makeJobTable(makeLongRunningJob("a"), { TargetId("w1") }, fixture.clock));
    fixture.listWorker("w1");
    fixture.runFor(milliseconds(200));
    fixture.worker("w1").silent = true;
    fixture.runFor(milliseconds(200));
    fixture.workers.restart(TargetId("w1"));
    fixture.runFor(milliseconds(500));
    const std::string key = records::jobKey(JobId("a"));
    const std::string value = fixture.log.newestValue(LogStream::Progress, key);
    cr_assert(value.empty()
              || records::decodeProgress(key, value).tasks.front().youngCrashes.empty());
}

/* Workers crash for reasons of their own, a while after they have started the task. */
Test(CrashEvidence, aLongRunningTaskWhoseWorkersCrashAfterAWhileIsNotGivenUp)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    constexpr std::size_t rounds = 6;
    for (std::size_t round = 1; round <= rounds; ++round) {
        const TargetId worker = fixture.awaitStart(round);
        fixture.runFor(milliseconds(800));
        fixture.crash(worker);
    }
    fixture.awaitStart(rounds + 1);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* A faulty list shows no worker at all. */
Test(CrashEvidence, aListThatLacksWorkersWhichAnswerProvesNothing)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(seconds(2));
    fixture.processes.list->running.clear();
    fixture.workers.workers[first].silent = true;
    fixture.runFor(seconds(2));
    cr_assert_eq(fixture.workers.starts.size(), 1U);
}

/* The worker was cut off, which ended its runs with their lease, and restarts a minute later. */
Test(CrashEvidence, aRunWhoseLeaseEndedLongBeforeItsWorkerRestartedIsNotCounted)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(milliseconds(50));
    fixture.workers.workers[first].silent = true;
    fixture.runFor(seconds(60));
    fixture.workers.restart(first);
    fixture.runFor(seconds(1));
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* The list cannot be read until the lease of the crashed worker is over. */
Test(CrashEvidence, aCrashThatIsProvedAfterTheLeaseIsCounted)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(milliseconds(50));
    fixture.processes.list.reset();
    fixture.workers.workers[first].silent = true;
    fixture.awaitStart(2);
    fixture.processes.list =
            WorkerProcesses { { TargetId("w1"), TargetId("w2"), TargetId("w3"), TargetId("w4") } };
    fixture.processes.list->running.erase(first);
    fixture.runFor(seconds(4));
    cr_assert_eq(fixture.progressOf("a").youngCrashes.size(), 1U);
}

/* The worker answers again under the same process: it was only cut off. */
Test(CrashEvidence, runsThatExpiredInSilenceAreNotCountedOnceTheirWorkerAnswers)
{
    EvidenceFixture fixture;
    fixture.accept(makeLongRunningJob("a"));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(milliseconds(50));
    fixture.workers.workers[first].silent = true;
    fixture.awaitStart(2);
    fixture.workers.workers[first].running.clear();
    fixture.workers.workers[first].silent = false;
    fixture.runFor(seconds(1));
    fixture.crash(first);
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* Were the others left running, they would end on their workers for nothing. */
Test(CrashEvidence, theOtherRunsOfAJobThatIsGivenUpAreStopped)
{
    EvidenceFixture fixture;
    StepJob job = makeJob("a", 2);
    job.steps[0].runsIndefinitely = true;
    job.steps[0].maxPerWorker = 1;
    fixture.accept(job);
    fixture.awaitStart(2);
    const TargetId kept = fixture.workers.starts[1].worker;
    fixture.runFor(milliseconds(50));
    const TargetId first = fixture.workers.starts[0].worker;
    fixture.workers.workers[first].silent = true;
    fixture.runFor(seconds(2));
    fixture.workers.restart(first);
    fixture.awaitStart(3);
    fixture.runFor(milliseconds(50));
    fixture.crash(fixture.workers.starts.back().worker);
    cr_assert(fixture.dispatcher.stateOf(JobId("a")) == JobState::Failed);
    cr_assert_eq(fixture.workers.workers[kept].stopped.size(), 1U);
}

/* A task fails by its own fault on a worker that goes on: that worker has not crashed under it. */
Test(CrashEvidence, aRunThatEndsTakesTheSuspicionOfItsTaskBack)
{
    EvidenceFixture fixture;
    fixture.accept(makeJob("a", 1));
    const TargetId first = fixture.awaitStart(1);
    fixture.runFor(milliseconds(50));
    fixture.crash(first);
    const TargetId second = fixture.awaitStart(2);
    fixture.runFor(milliseconds(50));
    cr_assert_eq(fixture.progressOf("a").youngCrashes.size(), 1U);
    fixture.workers.endRun(second, fixture.workers.starts.back().attempt, EndKind::Failed);
    fixture.runFor(milliseconds(300));
    cr_assert(fixture.progressOf("a").youngCrashes.empty());
}

/* The crash of a worker points at the suspect that was started apart there, not at what ran beside.
 */
Test(CrashEvidence, aCrashUnderASuspectIsNotCountedForAnotherTaskOnItsWorker)
{
    EvidenceFixture fixture;
    StepJob other = makeLongRunningJob("b");
    fixture.accept(other);
    const TargetId shared = fixture.awaitStart(1);
    fixture.runFor(seconds(1));
    for (const char *name : { "w1", "w2", "w3", "w4" }) {
        WorkerEntry entry = makeWorkerEntry(name);
        entry.draining = TargetId(name) != shared;
        fixture.dispatcher.workerListed(entry);
    }
    StepTask &task = const_cast<StepJobTable &>(fixture.dispatcher.jobs())
                             .find(JobId("b"))
                             ->changeTask({ JobId("b"), 0, 0, 0 });
    cr_assert(task.crashedAttempts.empty());
    Worker &worker = const_cast<WorkerManager &>(fixture.dispatcher.runs()).workers().at(shared);
    CrashSuspects::setApart(worker, { { JobId("x"), 0, 0, 0 }, 1 }, fixture.clock.now());
    fixture.crash(shared);
    cr_assert(task.crashedAttempts.empty());
}

Test(CrashEvidence, crashesOnRecordAreReadByANewOwner)
{
    const StepJob job = makeJob("a", 1);
    ManualClock clock;
    StepJobTable table = makeJobTable(job, {}, clock);
    const std::string key = records::jobKey(job.id);
    table.applyProgress(
            { key,
              R"({"schema":1,"succeeded":false,"failed":false,"tasks":[[0,0,0,false,[],[3,4],[4]]]})",
              2 });
    const StepTask &task = table.find(job.id)->task({ job.id, 0, 0, 0 });
    cr_assert_eq(task.crashedAttempts.size(), 2U);
    cr_assert_eq(task.youngCrashes.size(), 1U);
}
