#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Reads what tools/measure-daemon printed. @throws Error when the file cannot be read */
std::vector<Series> readDaemonMeasures(const std::string &path);

} // namespace bulrush::bench
