#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures routing decisions for requests and placement decisions for tasks. */
std::vector<Series> measureDecisions(std::uint64_t seed);

} // namespace bulrush::bench
