#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures operators' records: their bytes, their folding, the state in force, its snapshot. */
std::vector<Series> measureRecords();

} // namespace bulrush::bench
