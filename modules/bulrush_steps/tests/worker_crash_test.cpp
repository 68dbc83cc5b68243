#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Workers of which each crashes as soon as it has started a task of the job "deadly", and is back
    some seconds later. */
class CrashFixture : public DispatcherFixture
{
public:
    explicit CrashFixture(std::size_t workerCount, StepJobTable table = {}, std::uint64_t token = 3)
    {
        this->begin(std::move(table), token);
        this->processes.list = WorkerProcesses();
        for (std::size_t at = 0; at < workerCount; ++at) {
            this->names.push_back("w" + std::to_string(at));
            this->listWorker(this->names.back().c_str());
            this->processes.list->running.insert(TargetId(this->names.back()));
        }
        this->runFor(milliseconds(200));
    }

    /** Lets time pass, in which workers crash under the deadly task and return. */
    void play(milliseconds span)
    {
        constexpr milliseconds step { 50 };
        for (milliseconds passed { 0 }; passed < span; passed += step) {
            this->runFor(step);
            for (const std::string &name : this->names) {
                this->playWorker(name);
            }
        }
    }

    /** Returns the worker that has the only task of a job; empty when none has. */
    std::string workerOf(const char *job)
    {
        const auto found =
                std::find_if(this->names.begin(), this->names.end(), [&](const std::string &name) {
                    const auto &running = this->worker(name.c_str()).running;
                    return std::any_of(running.begin(), running.end(), [job](const auto &each) {
                        return each.first.task.job == JobId(job);
                    });
                });
        return found == this->names.end() ? std::string() : *found;
    }

    /** Returns the task's state as the log holds it, as a new owner reads it. */
    StepJobTable recordedTable(const StepJob &job)
    {
        StepJobTable table = makeJobTable(job, {}, this->clock);
        const std::string key = records::jobKey(job.id);
        table.applyProgress({ key, this->log.newestValue(LogStream::Progress, key), 2 });
        return table;
    }

    /** Ends a worker's process without notice. */
    void crash(const std::string &name)
    {
        this->worker(name.c_str()).silent = true;
        if (this->crashedWorkersLeave) {
            this->processes.list->running.erase(TargetId(name.c_str()));
        }
        this->backAt[name] = this->clock.now() + seconds(3);
        ++this->crashes;
    }

    std::size_t crashes = 0;
    std::vector<std::string> names;
    /** Whether crashed workers do not return but leave the platform's list. */
    bool crashedWorkersLeave = false;
    /** How long tasks of other jobs than the deadly one take. */
    milliseconds taskDuration { 1500 };

private:
    void playWorker(const std::string &name)
    {
        FakeWorker &fake = this->worker(name.c_str());
        const bool deadly =
                std::any_of(fake.running.begin(), fake.running.end(), [](const auto &each) {
                    return each.first.task.job == JobId("deadly");
                });
        if (deadly && !fake.silent) {
            this->crash(name);
        }
        if (this->backAt.contains(name) && this->clock.now() >= this->backAt[name]) {
            this->backAt.erase(name);
            this->bringBack(name);
        }
        const std::map<AttemptRef, Instant> since = fake.listedSince;
        for (const auto &[attempt, listedAt] : since) {
            const bool runs = fake.running.contains(attempt) && !fake.silent;
            if (runs && this->clock.now() - listedAt >= this->taskDuration) {
                this->workers.endRun(TargetId(name.c_str()), attempt, EndKind::Succeeded);
            }
        }
    }

    void bringBack(const std::string &name)
    {
        if (this->crashedWorkersLeave) {
            this->dispatcher.workerUnlisted(TargetId(name.c_str()), RemovalCause::Unknown);
            return;
        }
        this->workers.restart(TargetId(name.c_str()));
    }

    std::map<std::string, Instant> backAt;
};

StepJob makeLastingJob(const char *id)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    return job;
}

/** Lets the worker that has a long-running task crash again and again, some time after its start.
 */
void crashUnder(CrashFixture &fixture, const char *job, int times, milliseconds after)
{
    for (int each = 0; each < times; ++each) {
        fixture.play(after);
        const std::string name = fixture.workerOf(job);
        cr_assert(!name.empty(), "the task does not run");
        fixture.crash(name);
        fixture.play(seconds(9));
    }
}

} // namespace

Test(WorkerCrash, aTaskThatCrashesEachWorkerIsGivenUpAfterTwo)
{
    CrashFixture fixture(6);
    fixture.accept(makeJob("deadly", 1));
    fixture.play(seconds(40));
    cr_expect_eq(fixture.crashes, 2U, "%zu workers crashed", fixture.crashes);
    cr_expect(fixture.dispatcher.stateOf(JobId("deadly")) == JobState::Failed);
}

Test(WorkerCrash, aLongRunningTaskThatCrashesEachWorkerIsGivenUpAfterTwo)
{
    CrashFixture fixture(6);
    fixture.accept(makeLastingJob("deadly"));
    fixture.play(seconds(40));
    cr_expect_eq(fixture.crashes, 2U, "%zu workers crashed", fixture.crashes);
    cr_expect(fixture.dispatcher.stateOf(JobId("deadly")) == JobState::Failed);
}

Test(WorkerCrash, aTaskThatCrashesWorkersWhichNeverReturnIsGivenUpAfterTwo)
{
    CrashFixture fixture(6);
    fixture.crashedWorkersLeave = true;
    fixture.accept(makeJob("deadly", 1));
    fixture.play(seconds(40));
    cr_expect_eq(fixture.crashes, 2U, "%zu workers crashed", fixture.crashes);
    cr_expect(fixture.dispatcher.stateOf(JobId("deadly")) == JobState::Failed);
}

Test(WorkerCrash, tasksBesideOneThatCrashesItsWorkersAreNotGivenUp)
{
    CrashFixture fixture(4);
    const std::vector<std::string> others { "a", "b", "c", "d", "e", "f" };
    for (const std::string &job : others) {
        fixture.accept(makeJob(job.c_str(), 6));
    }
    fixture.accept(makeJob("deadly", 1));
    fixture.play(seconds(40));
    // At the first crash it has only just been started beside the others.
    cr_expect_eq(fixture.crashes, 3U, "%zu workers crashed", fixture.crashes);
    for (const std::string &job : others) {
        cr_expect(fixture.dispatcher.stateOf(JobId(job)) == JobState::Succeeded, "job %s",
                  job.c_str());
    }
}

Test(WorkerCrash, aTaskOnWorkersThatAreOnlySilentIsNotGivenUp)
{
    CrashFixture fixture(6);
    fixture.accept(makeLastingJob("a"));
    constexpr std::size_t cuts = 4;
    for (std::size_t cut = 1; cut <= cuts; ++cut) {
        for (int tick = 0; tick < 1000 && fixture.workers.starts.size() < cut; ++tick) {
            fixture.runFor(tickInterval);
        }
        cr_assert_eq(fixture.workers.starts.size(), cut, "the task does not run");
        const TargetId name = fixture.workers.starts.back().worker;
        fixture.workers.workers[name].silent = true;
        fixture.dispatcher.workerUnlisted(name, RemovalCause::Unknown);
    }
    fixture.runFor(seconds(6));
    cr_expect(fixture.dispatcher.stateOf(JobId("a")) != JobState::Failed);
    cr_expect_eq(fixture.workers.starts.size(), cuts + 1);
}

Test(WorkerCrash, aLongRunningTaskWhoseWorkersCrashMuchLaterIsNotGivenUp)
{
    CrashFixture fixture(6);
    fixture.taskDuration = seconds(1000);
    fixture.accept(makeLastingJob("a"));
    crashUnder(fixture, "a", 6, seconds(5));
    cr_expect(fixture.dispatcher.stateOf(JobId("a")) == JobState::Running);
}

/* Workers crash for reasons of their own, seconds after they have started the task. */
Test(WorkerCrash, aTaskWhoseWorkersCrashMuchLaterIsNotGivenUp)
{
    CrashFixture fixture(6);
    fixture.taskDuration = seconds(1000);
    StepJob job = makeJob("a", 1);
    job.steps[0].estimate = seconds(1000);
    fixture.accept(job);
    crashUnder(fixture, "a", 6, seconds(5));
    cr_expect(fixture.dispatcher.stateOf(JobId("a")) == JobState::Running);
}

Test(WorkerCrash, aNewOwnerCountsTheCrashesThatItsPredecessorSaw)
{
    const StepJob job = makeJob("deadly", 1);
    CrashFixture former(6);
    former.accept(job);
    const std::string key = records::jobKey(job.id);
    while (former.log.newestValue(LogStream::Progress, key).empty() && former.crashes < 2) {
        former.play(milliseconds(50));
    }
    CrashFixture next(6, former.recordedTable(job), 4);
    next.play(seconds(40));
    cr_expect_eq(next.crashes, 1U, "%zu more workers crashed", next.crashes);
    cr_expect(next.dispatcher.stateOf(job.id) == JobState::Failed);
}

Test(WorkerCrash, aJobIsNotShownAsFailedBeforeItsEndIsStored)
{
    CrashFixture fixture(6);
    fixture.accept(makeJob("deadly", 1));
    fixture.play(seconds(4));
    fixture.log.up = false;
    fixture.play(seconds(8));
    cr_expect_eq(fixture.crashes, 2U);
    cr_expect(fixture.dispatcher.stateOf(JobId("deadly")) == JobState::Running);
    fixture.log.up = true;
    fixture.play(seconds(2));
    cr_expect(fixture.dispatcher.stateOf(JobId("deadly")) == JobState::Failed);
}

Test(WorkerCrash, progressOfAnEarlierVersionHasNoCrashes)
{
    const JobProgress progress = records::decodeProgress(
            "job/a", R"({"schema":1,"succeeded":false,"failed":false,"tasks":[[0,0,0,true,[4]]]})");
    cr_assert_eq(progress.tasks.size(), 1U);
    cr_expect(progress.tasks[0].crashedAttempts.empty());
    cr_expect(progress.tasks[0].youngCrashes.empty());
}
