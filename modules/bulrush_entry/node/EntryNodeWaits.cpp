// The part of EntryNode that reports the steps that wait.

#include "bulrush_entry/node/EntryNode.h"

#include <string>

namespace bulrush {

namespace {

/** Adds how many workers each obstacle keeps a task off, and how many of these serve nothing. */
void addObstacles(DecisionLine &line, const WorkerObstacles &obstacles)
{
    for (std::size_t index = 0; index < workerObstacleCount; ++index) {
        const auto obstacle = static_cast<WorkerObstacle>(index);
        const std::string name(text(obstacle));
        line.with("workers_" + name, obstacles.of(obstacle).workers);
        line.with("nonserving_" + name, obstacles.of(obstacle).withoutServing);
    }
}

} // namespace

void EntryNode::reportWaits(std::string_view lane, const WaitCensus &waits)
{
    if (!waits.longest()) {
        return;
    }
    DecisionLine line(Event::TasksWait);
    line.with("lane", lane);
    for (std::size_t index = 0; index < waitReasonCount; ++index) {
        const auto reason = static_cast<WaitReason>(index);
        line.with(text(reason), waits.count(reason));
    }
    const LongestWait &longest = *waits.longest();
    constexpr milliseconds notExpected { -1 };
    const auto expected = duration_cast<milliseconds>(longest.roomExpectedIn.value_or(notExpected));
    line.with("longest_job", longest.job.name())
            .with("longest_ms", duration_cast<milliseconds>(longest.age).count())
            .with("longest_reason", text(longest.reason))
            .with("longest_cpu", longest.size.cpuMilli)
            .with("longest_memory", longest.size.memoryMb)
            .with("expected_room_ms", expected.count())
            .with("longest_step", longest.step)
            .with("longest_starving", longest.starving)
            .with("longest_step_runs", longest.stepRuns)
            .with("longest_job_runs", longest.jobRuns);
    addObstacles(line, longest.obstacles);
    this->decisions.write(line);
}

} // namespace bulrush
