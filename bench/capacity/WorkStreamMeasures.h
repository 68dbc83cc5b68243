#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures what every node spends on the work stream that all owners write. */
std::vector<Series> measureWorkStream();

} // namespace bulrush::bench
