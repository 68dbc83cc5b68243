#pragma once

#include "bulrush_steps/workers/Worker.h"

#include <optional>

namespace bulrush {

/** Returns when a run is expected to end; none for one that ends only when it is stopped. */
std::optional<Instant> expectedEnd(const Run &run, Instant now);

/** Returns when a worker is expected to have room of a size; none if not by the ends of its runs.
 */
std::optional<Instant> roomExpectedAt(const Worker &worker, const ResourceVector &size,
                                      Instant now);

/** Returns the resources of a worker that are expected to be free at a time, by the ends of its
    runs. */
ResourceVector roomExpectedBy(const Worker &worker, Instant time, Instant now);

} // namespace bulrush
