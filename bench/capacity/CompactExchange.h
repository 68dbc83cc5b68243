#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <string>

namespace bulrush::bench {

/**
    Returns an experimental compact encoding of an exchange: arrays in place of objects, grouped by
    job, with fields omitted that have their default value. Used only for measurements.
*/
std::string encodeCompact(const ExchangeRequest &request);
std::string encodeCompact(const ExchangeAnswer &answer);

} // namespace bulrush::bench
