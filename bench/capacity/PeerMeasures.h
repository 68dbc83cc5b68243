#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the frames between nodes, sent and received by one node. */
std::vector<Series> measurePeers();

} // namespace bulrush::bench
