#include "bulrush_steps/model/JobLimits.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>

namespace bulrush {

namespace {

constexpr std::size_t maxSteps = 1000;

/** The most that a task may demand of a resource, which is more than any worker has. */
constexpr std::int64_t maxDemand = 1'000'000'000'000;

/** The longest that all steps of a job may be estimated to take, one after another. */
constexpr milliseconds maxEstimatedPath { std::chrono::hours(30 * 24) };

void require(bool holds, const char *field)
{
    if (!holds) {
        throw Error("check job", field, "is out of bounds");
    }
}

template<class Value>
bool isWithin(Value value, Value max)
{
    return value >= Value() && value <= max;
}

void checkStep(const StepSpec &step, std::size_t index)
{
    require(step.taskCount > 0, "tasks");
    require(isWithin(step.size.cpuMilli, maxDemand) && isWithin(step.size.memoryMb, maxDemand)
                    && isWithin(step.size.accelerators, maxDemand),
            "resources");
    require(isWithin(step.estimate, maxEstimatedPath), "estimate");
    require(isWithin(step.tailTarget, maxQueueTime), "tail latency target");
    require(std::all_of(step.dependsOn.begin(), step.dependsOn.end(),
                        [index](std::uint32_t earlier) { return earlier < index; }),
            "dependencies");
}

void checkSteps(const StepJob &job)
{
    require(!job.steps.empty() && job.steps.size() <= maxSteps, "steps");
    std::uint64_t tasks = 0;
    milliseconds path { 0 };
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        checkStep(job.steps[index], index);
        tasks += job.steps[index].taskCount;
        path += job.steps[index].estimate;
    }
    require(path <= maxEstimatedPath, "estimate");
    require(job.occurrences > 0 && tasks * job.occurrences <= maxTasksOfJob, "tasks");
}

void checkTimes(const StepJob &job)
{
    require(isWithin(job.acceptedAt, maxUnixMillis), "time of acceptance");
    require(isWithin(job.firstDue, maxUnixMillis), "first due time");
    const milliseconds schedule(maxUnixMillis - job.firstDue);
    require(isWithin(job.interval, schedule / job.occurrences), "interval");
}

} // namespace

void checkLimits(const StepJob &job)
{
    checkSteps(job);
    checkTimes(job);
    require(isWithin(job.slackFactor, maxSlackFactor), "slack factor");
    require(isWithin(job.latencyTarget, maxQueueTime), "latency target");
}

} // namespace bulrush
