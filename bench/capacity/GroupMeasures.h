#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the owner of one worker group: exchanges, starts, ticks, snapshots, taking over. */
std::vector<Series> measureGroupOwner(std::uint64_t seed);

} // namespace bulrush::bench
