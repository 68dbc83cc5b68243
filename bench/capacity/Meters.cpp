#include "Meters.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <malloc.h>

namespace bulrush::bench {

namespace {

double threadMicros()
{
    constexpr double microsPerSecond = 1e6;
    constexpr double nanosPerMicro = 1e3;
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * microsPerSecond
            + static_cast<double>(time.tv_nsec) / nanosPerMicro;
}

} // namespace

CpuTimer::CpuTimer()
    : start(threadMicros())
{
}

double CpuTimer::micros() const
{
    return threadMicros() - this->start;
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double minMicros(int runs, const std::function<void()> &step)
{
    double minimum = std::numeric_limits<double>::max();
    for (int run = 0; run < runs; ++run) {
        const CpuTimer timer;
        step();
        minimum = std::min(minimum, timer.micros());
    }
    return minimum;
}

} // namespace bulrush::bench
