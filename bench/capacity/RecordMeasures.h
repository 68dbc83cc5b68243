#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures configuration records: bytes, processor time to apply them, the resulting state and its
    snapshot. */
std::vector<Series> measureRecords();

} // namespace bulrush::bench
