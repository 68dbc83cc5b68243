#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

milliseconds lastKnownAge(const Worker &worker, const Run &run)
{
    return std::max(duration_cast<milliseconds>(worker.reportedAt - run.startSentAt),
                    milliseconds(0));
}

} // namespace bulrush
