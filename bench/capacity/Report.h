#pragma once

#include "Model.h"
#include "Series.h"

#include <string>

namespace bulrush::bench {

/** What a result was measured on and with. */
struct RunInfo
{
    std::uint64_t seed = 1;
    std::string commit;
};

/** Prints each series with its line and residual. */
void printTable(const std::vector<Series> &all);

/** Prints what each role costs at the target's size, and how many nodes each limit needs. */
void printModel(const std::string &title, const std::vector<RoleCost> &roles, const Target &target);

/** Writes the points of each series, and the roles' costs by nodes, for gnuplot. @throws Error */
void writePlotData(const std::string &path, const std::vector<Series> &all, const Model &model);

/** Writes a result file. @throws Error when it cannot be written */
void writeResult(const std::string &path, const RunInfo &info, const std::vector<Series> &all,
                 const Model &model);

/** Returns the series of a result file. @throws Error when it is unreadable */
std::vector<Series> readResult(const std::string &path);

/** Prints each slope beside that of an earlier result file. @throws Error when it is unreadable */
void printComparison(const std::string &path, const std::vector<Series> &all);

} // namespace bulrush::bench
