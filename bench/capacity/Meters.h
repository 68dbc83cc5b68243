#pragma once

#include <cstddef>
#include <functional>

namespace bulrush::bench {

/** Measures the processor time that this thread spends. */
class CpuTimer
{
public:
    CpuTimer();

    /** Returns the microseconds since the timer was made. */
    double micros() const;

private:
    double start;
};

/** Returns the bytes that are allocated on the heap. */
std::size_t heapBytes();

/** Runs a step several times. @returns the least processor time of one run, in microseconds */
double leastMicros(int runs, const std::function<void()> &step);

} // namespace bulrush::bench
