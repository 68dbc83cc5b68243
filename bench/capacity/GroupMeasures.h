#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the owner of one worker group: exchanges, starts, ticks, snapshots and takeover. */
std::vector<Series> measureGroupOwner(std::uint64_t seed);

} // namespace bulrush::bench
