#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the decisions on requests and on tasks. */
std::vector<Series> measureDecisions(std::uint64_t seed);

} // namespace bulrush::bench
