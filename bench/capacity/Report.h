#pragma once

#include "Model.h"
#include "Series.h"

#include <string>

namespace bulrush::bench {

/** The seed and the commit of a measurement. */
struct RunInfo
{
    std::uint64_t seed = 1;
    std::string commit;
};

/** Prints each series with its fitted line and residual. */
void printTable(const std::vector<Series> &all);

/** Prints the cost of each role at the target's size, and the number of nodes at which each limit
    is met. */
void printModel(const std::string &title, const std::vector<RoleCost> &roles, const Target &target);

/** Writes the points of each series, and the total cost by number of nodes, for gnuplot.
    @throws Error when the file cannot be written */
void writePlotData(const std::string &path, const std::vector<Series> &all, const Model &model);

/** Writes a result file. @throws Error when it cannot be written */
void writeResult(const std::string &path, const RunInfo &info, const std::vector<Series> &all,
                 const Model &model);

/** Returns the series of a result file. @throws Error when it is unreadable */
std::vector<Series> readResult(const std::string &path);

/** Prints each slope next to that of an earlier result file. @throws Error when it is unreadable */
void printComparison(const std::string &path, const std::vector<Series> &all);

} // namespace bulrush::bench
