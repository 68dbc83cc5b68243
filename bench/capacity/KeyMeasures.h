#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures the keys of non-idempotent requests: bytes on the log, folding, memory. */
std::vector<Series> measureKeys();

} // namespace bulrush::bench
