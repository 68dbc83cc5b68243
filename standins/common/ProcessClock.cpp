#include "standins/common/ProcessClock.h"

namespace bulrush::standins {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

ProcessClock::ProcessClock()
    : startedAtMs(duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count())
    , startedAt(steady_clock::now())
{
}

UnixMs ProcessClock::nowMs() const
{
    const auto elapsed = steady_clock::now() - this->startedAt;
    return this->startedAtMs + duration_cast<milliseconds>(elapsed).count();
}

} // namespace bulrush::standins
