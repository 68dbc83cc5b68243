#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <string>

namespace bulrush::bench {

/**
    A trial of a smaller encoding of exchanges: rows in place of objects, grouped by job, and what
    has its usual value left out. Nothing but the measurement uses it.
*/
std::string compactText(const ExchangeRequest &request);
std::string compactText(const ExchangeAnswer &answer);

} // namespace bulrush::bench
