#pragma once

#include "Measures.h"

namespace bulrush::bench {

/** Runs the arrivals through one queue that sees all slots of all executors at no cost. */
Measures runOmniscientQueue(const Case &benchCase, const std::vector<Arrival> &arrivals,
                            Duration length);

} // namespace bulrush::bench
