#pragma once

#include "bulrush_routing/bulrush_routing.h"

namespace bulrush::bench {

/** Returns the median time of one choice in microseconds, targets half full. */
double timeChoice(routing::StrategyKind strategy, std::size_t targets, bool allFull);

/** Returns the median time of a whole request in the router in microseconds, without I/O. */
double timeRequest(std::size_t targets);

} // namespace bulrush::bench
