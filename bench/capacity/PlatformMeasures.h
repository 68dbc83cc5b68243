#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the platform's list of VMs and a read of the log that returns nothing. */
std::vector<Series> measurePlatform();

} // namespace bulrush::bench
