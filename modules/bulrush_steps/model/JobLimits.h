#pragma once

#include "bulrush_steps/model/StepJob.h"

namespace bulrush {

/** The start of the year 2200: differences of earlier calendar times fit into 64 bits of
    nanoseconds. */
constexpr UnixMillis maxUnixMillis = 7'258'118'400'000;

/** The longest latency target or time limit of a queue. */
constexpr milliseconds maxQueueTime { std::chrono::hours(24) };

constexpr double maxSlackFactor = 1000.0;

/** The maximum number of tasks of all steps and occurrences of a job. */
constexpr std::uint32_t maxTasksOfJob = 100'000;

/** Checks that a job's tasks, steps, demands and times are within the limits for which the
    scheduler's sums cannot overflow, and that each step depends on earlier ones only.
    @throws Error naming the field */
void checkLimits(const StepJob &job);

} // namespace bulrush
