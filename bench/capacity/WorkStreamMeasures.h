#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the cost on every node of reading the work stream, which all owners write. */
std::vector<Series> measureWorkStream();

} // namespace bulrush::bench
