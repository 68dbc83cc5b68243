#pragma once

#include "Series.h"

namespace bulrush::bench {

/** Reads the output of tools/measure-daemon.
    @throws Error when it is unreadable or holds fewer than two cluster sizes */
std::vector<Series> readDaemonMeasures(const std::string &path);

} // namespace bulrush::bench
