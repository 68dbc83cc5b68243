#pragma once

#include <cstddef>
#include <functional>

namespace bulrush::bench {

/** Measures the processor time of the calling thread. */
class CpuTimer
{
public:
    CpuTimer();

    /** Returns the processor time since construction, in microseconds. */
    double micros() const;

private:
    double start;
};

/** Returns the number of bytes allocated on the heap. */
std::size_t heapBytes();

/** Runs a step several times. @returns the minimum processor time of a run, in microseconds */
double minMicros(int runs, const std::function<void()> &step);

} // namespace bulrush::bench
