#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the frames that one node sends to and receives from its peers. */
std::vector<Series> measurePeers();

} // namespace bulrush::bench
