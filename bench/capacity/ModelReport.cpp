#include "Report.h"

#include "bulrush_core/errors/Error.h"

#include <array>
#include <cstdio>
#include <fstream>

namespace bulrush::bench {

namespace {

constexpr double percent = 100.0;
constexpr double mebibyte = 1'024.0 * 1'024.0;
constexpr std::array<int, 7> nodeCounts { 9, 15, 30, 60, 120, 240, 480 };
constexpr int plottedNodes = 500;
constexpr int plottedStep = 5;

std::string formula(const Cost &cost, double unit)
{
    std::array<char, 80> text {};
    std::snprintf(text.data(), text.size(), "%9.3f + %9.1f/N + %7.4f(N-1)", cost.each / unit,
                  cost.shared / unit, cost.perPeer / unit);
    return text.data();
}

void printRole(const RoleCost &role)
{
    std::printf("%-24s %s  %s  %s  %s\n", role.role.c_str(), formula(role.bytes, 1'024).c_str(),
                formula(role.core, 1 / percent).c_str(), formula(role.memory, mebibyte).c_str(),
                formula(role.appends, 1).c_str());
}

void printLimit(const char *name, const Cost &cost, double limit)
{
    const int nodes = minNodes(cost, limit);
    if (nodes == 0) {
        std::printf("%s: not met at any number of nodes\n", name);
    } else {
        std::printf("%s: met with %d nodes or more\n", name, nodes);
    }
}

void writeCosts(std::ofstream &file, const std::string &name, const RoleCost &total)
{
    file << "# " << name << '\n';
    for (int nodes = plottedStep; nodes <= plottedNodes; nodes += plottedStep) {
        file << nodes << ' ' << total.bytes.at(nodes) / 1'024 << ' '
             << total.core.at(nodes) * percent << ' ' << total.memory.at(nodes) / mebibyte << '\n';
    }
    file << "\n\n";
}

} // namespace

void printModel(const std::string &title, const std::vector<RoleCost> &roles, const Target &target)
{
    std::printf("\n%s, cost per node at N nodes\n%-24s %-38s  %-38s  %-38s  %s\n", title.c_str(),
                "role", "KB/s", "% of a core", "MB", "appends/s of all nodes x N");
    for (const RoleCost &role : roles) {
        printRole(role);
    }
    const RoleCost total = totalOf(roles);
    printRole(total);
    for (const int nodes : nodeCounts) {
        std::printf("N = %3d: %8.1f KB/s  %7.2f %% of a core  %6.1f MB  %7.1f appends/s\n", nodes,
                    total.bytes.at(nodes) / 1'024, total.core.at(nodes) * percent,
                    total.memory.at(nodes) / mebibyte,
                    total.appends.shared + total.appends.perPeer * (nodes - 1));
    }
    printLimit("network", total.bytes, target.bytesPerSecond);
    printLimit("processor", total.core, target.coreShare);
    printLimit("memory", total.memory, target.memoryBytes);
}

void writePlotData(const std::string &path, const std::vector<Series> &all, const Model &model)
{
    std::ofstream file(path);
    for (const Series &series : all) {
        file << "# " << series.name() << '\n';
        for (const Point &point : series.points) {
            file << point.size << ' ' << point.value << '\n';
        }
        file << "\n\n";
    }
    writeCosts(file, "model/today", totalOf(model.today()));
    writeCosts(file, "model/proposed", totalOf(model.proposed()));
    if (!file.flush()) {
        throw Error("write plot data", path, "the file cannot be written");
    }
}

} // namespace bulrush::bench
