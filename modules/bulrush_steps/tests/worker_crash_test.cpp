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
    explicit CrashFixture(std::size_t workerCount, StepJobTable table = {})
    {
        this->begin(std::move(table));
        for (std::size_t at = 0; at < workerCount; ++at) {
            this->names.push_back("w" + std::to_string(at));
            this->listWorker(this->names.back().c_str());
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

    /** Returns how often the task of a job was started. */
    std::size_t startsOf(const char *job) const
    {
        const auto &starts = this->workers.starts;
        return static_cast<std::size_t>(
                std::count_if(starts.begin(), starts.end(), [job](const auto &each) {
                    return each.attempt.task.job == JobId(job);
                }));
    }

    /** Ends a worker's process without notice. */
    void crash(const std::string &name)
    {
        this->worker(name.c_str()).silent = true;
        this->backAt[name] = this->clock.now() + seconds(3);
        ++this->crashes;
    }

    std::size_t crashes = 0;
    std::vector<std::string> names;

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
        if (fake.silent && this->clock.now() >= this->backAt[name]) {
            this->workers.restart(TargetId(name.c_str()));
        }
    }

    std::map<std::string, Instant> backAt;
};

StepJob makeLastingJob(const char *id)
{
    StepJob job = makeJob(id, 1);
    job.steps[0].runsIndefinitely = true;
    return job;
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
