#pragma once

#include <cstddef>
#include <vector>

namespace bulrush::bench {

/** Durations of placement decisions at one number of workers. */
struct DecisionTime
{
    std::size_t workers = 0;
    std::size_t tasks = 0;
    double medianMicros = 0;
    double p99Micros = 0;
    double popMedianMicros = 0; ///< to pop a task from a queue of 30,000
};

/** Measures decisions on tables with as many tasks per worker as the target system, at 65, 400 and
    1,900 workers. */
std::vector<DecisionTime> measureDecisionTimes();

} // namespace bulrush::bench
