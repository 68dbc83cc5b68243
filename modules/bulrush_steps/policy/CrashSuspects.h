#pragma once

#include "bulrush_steps/workers/Worker.h"

namespace bulrush {

/** Returns how long a run had been on its worker when the worker last reported; zero when the
    worker has not reported since the start. */
milliseconds lastKnownAge(const Worker &worker, const Run &run);

} // namespace bulrush
