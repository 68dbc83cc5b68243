#pragma once

#include "Measures.h"

namespace bulrush::bench {

/** Simulates a single queue that knows all slots of all executors at no cost. */
Measures runOmniscientQueue(const Case &benchCase, const std::vector<Arrival> &arrivals,
                            Duration length);

} // namespace bulrush::bench
