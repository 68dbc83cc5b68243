#pragma once

#include "bulrush_routing/bulrush_routing.h"

namespace bulrush::bench {

/** Returns the median time of one choice of a target in microseconds.
    @param allFull whether all targets are full; otherwise they are half full on average */
double timeChoice(routing::StrategyKind strategy, std::size_t targets, bool allFull);

/** Returns the median time of the router for a whole request, in microseconds, without I/O. */
double timeRequest(std::size_t targets);

} // namespace bulrush::bench
