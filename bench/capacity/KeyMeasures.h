#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Measures idempotency keys: bytes on the log, processor time to apply them, and memory. */
std::vector<Series> measureKeys();

} // namespace bulrush::bench
