#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the platform's list of VMs, log reads that return no records, and log pages. */
std::vector<Series> measurePlatform();

} // namespace bulrush::bench
