#pragma once

#include "DispatcherFixture.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/** A long-running task has a run again at the latest this long after its last one. */
inline constexpr seconds maxWaitOfALongRunningTask { 6 };

/** The processors of a short task on a full service. */
inline constexpr std::int64_t shortTaskCpu = 4000;

inline StepJob makeLongRunningJob(const char *id, std::uint32_t tasks, std::int64_t cpuMilli)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].runsIndefinitely = true;
    job.steps[0].size.cpuMilli = cpuMilli;
    return job;
}

/** Workers that short tasks fill: each part that comes free is wanted by another one at once. */
class FullService
{
public:
    explicit FullService(std::uint32_t workers)
    {
        this->fixture.begin({});
        for (std::uint32_t number = 1; number <= workers; ++number) {
            this->fixture.listWorker(("w" + std::to_string(number)).c_str());
        }
        this->fixture.runFor(milliseconds(100));
        this->runFor(seconds(2));
    }

    void submit(StepJob job)
    {
        job.acceptedAt = this->fixture.clock.calendarMillis();
        this->fixture.accept(job);
    }

    /** Lets time pass in which short tasks end one by one and more are submitted. */
    void runFor(milliseconds span)
    {
        const Instant end = this->fixture.clock.now() + span;
        while (this->fixture.clock.now() < end) {
            this->supplyShortTasks();
            this->fixture.runFor(tickInterval);
            this->endShortTasks();
        }
    }

    /** Returns the number of started tasks of a job. */
    std::size_t startsOf(const char *job) const
    {
        std::set<TaskRef> tasks;
        for (const FakeWorkers::SentStart &start : this->fixture.workers.starts) {
            if (start.attempt.task.job == JobId(job)) {
                tasks.insert(start.attempt.task);
            }
        }
        return tasks.size();
    }

    /** Returns the workers with reserved room. */
    std::vector<TargetId> reservedWorkers() const
    {
        std::vector<TargetId> reserved;
        for (const auto &[id, worker] : this->fixture.dispatcher.runs().workers()) {
            if (worker.reservation) {
                reserved.push_back(id);
            }
        }
        return reserved;
    }

    DispatcherFixture fixture;

private:
    void supplyShortTasks()
    {
        constexpr std::uint32_t tasksOfAJob = 40;
        constexpr std::uint32_t minWaitingJobs = 3;
        while (this->fixture.dispatcher.waitingJobs("checks") < minWaitingJobs) {
            StepJob job =
                    makeJob(("short" + std::to_string(this->supplied++)).c_str(), tasksOfAJob);
            job.steps[0].size.cpuMilli = shortTaskCpu;
            job.slackFactor = 50.0;
            this->submit(job);
        }
    }

    /** Ends short runs after 400 to 690 ms, so that hardly any two end together. */
    void endShortTasks()
    {
        const Instant now = this->fixture.clock.now();
        const std::vector<FakeWorkers::SentStart> &starts = this->fixture.workers.starts;
        for (; this->seenStarts < starts.size(); ++this->seenStarts) {
            const FakeWorkers::SentStart &start = starts[this->seenStarts];
            if (start.attempt.task.job.name().starts_with("short")) {
                const auto spread = static_cast<std::int64_t>(this->seenStarts * 70 % 300);
                this->ends.emplace(now + milliseconds(400 + spread), start);
            }
        }
        while (!this->ends.empty() && this->ends.begin()->first <= now) {
            const FakeWorkers::SentStart &start = this->ends.begin()->second;
            this->fixture.workers.endRun(start.worker, start.attempt, EndKind::Succeeded);
            this->ends.erase(this->ends.begin());
        }
    }

    std::uint32_t supplied = 0;
    std::size_t seenStarts = 0;
    std::multimap<Instant, FakeWorkers::SentStart> ends;
};

/** Begins with a serving task close to its target on each of some workers. */
inline void beginWithSensitiveServingTasks(DispatcherFixture &fixture, std::uint32_t workers)
{
    constexpr double idleTail = 10.0;
    constexpr double tailNearTarget = 50.0;
    fixture.begin({});
    StepJob serving = makeLongRunningJob("serving", workers, 10000);
    serving.steps[0].tailTarget = milliseconds(50);
    serving.steps[0].image = "web";
    serving.steps[0].maxPerWorker = 1;
    for (std::uint32_t number = 1; number <= workers; ++number) {
        fixture.listWorker(("w" + std::to_string(number)).c_str());
    }
    fixture.accept(serving);
    fixture.runFor(milliseconds(500));
    for (const double tail : { idleTail, tailNearTarget }) {
        for (auto &[id, worker] : fixture.workers.workers) {
            cr_assert_eq(worker.running.size(), 1U);
            worker.running.begin()->second.load = tail;
        }
        fixture.runFor(seconds(3));
    }
}

inline StepJob makeFillingJob(const char *id, std::uint32_t tasks, const Clock &clock)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].fills = true;
    job.steps[0].image = "batch";
    job.steps[0].size = { 6400, 1000, 0 };
    job.acceptedAt = clock.calendarMillis();
    return job;
}

} // namespace bulrush::test
