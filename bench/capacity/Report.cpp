#include "Report.h"

#include "bulrush_core/errors/Error.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace bulrush::bench {

namespace {

using nlohmann::json;

constexpr double percent = 100.0;

json seriesJson(const Series &series)
{
    json points = json::array();
    for (const Point &point : series.points) {
        points.push_back({ point.size, point.value });
    }
    const Fit fit = fitLine(series.points);
    return { { "role", series.role }, { "quantity", series.quantity },
             { "unit", series.unit }, { "size", series.sizeName },
             { "points", points },    { "intercept", fit.intercept },
             { "slope", fit.slope },  { "residual", fit.residual } };
}

json costJson(const Cost &cost)
{
    return { { "each", cost.each }, { "shared", cost.shared }, { "perPeer", cost.perPeer } };
}

json modelJson(const std::vector<RoleCost> &roles)
{
    json list = json::array();
    for (const RoleCost &role : roles) {
        list.push_back({ { "role", role.role },
                         { "bytesPerSecond", costJson(role.bytes) },
                         { "core", costJson(role.core) },
                         { "memoryBytes", costJson(role.memory) },
                         { "appendsPerSecond", costJson(role.appends) } });
    }
    return list;
}

json machineJson()
{
    return { { "cores", std::thread::hardware_concurrency() }, { "compiler", "g++ " __VERSION__ } };
}

} // namespace

void printTable(const std::vector<Series> &all)
{
    std::printf("%-42s %-4s %-40s %12s %12s %9s\n", "series", "unit", "by", "intercept", "slope",
                "residual");
    for (const Series &series : all) {
        const Fit fit = fitLine(series.points);
        std::printf("%-42s %-4s %-40s %12.2f %12.4f %8.1f%%", series.name().c_str(),
                    series.unit.c_str(), series.sizeName.c_str(), fit.intercept, fit.slope,
                    percent * fit.residual);
        for (const Point &point : series.points) {
            std::printf("  %.0f: %.1f", point.size, point.value);
        }
        std::printf("\n");
    }
}

void writeResult(const std::string &path, const RunInfo &info, const std::vector<Series> &all,
                 const Model &model)
{
    json list = json::array();
    for (const Series &series : all) {
        list.push_back(seriesJson(series));
    }
    std::ofstream file(path);
    file << json { { "bench", "capacity" },
                   { "machine", machineJson() },
                   { "commit", info.commit },
                   { "seed", info.seed },
                   { "series", list },
                   { "today", modelJson(model.today()) },
                   { "proposed", modelJson(model.proposed()) } }
                    .dump(1)
         << '\n';
    if (!file.flush()) {
        throw Error("write result", path, "the file cannot be written");
    }
}

std::vector<Series> readResult(const std::string &path)
{
    std::ifstream file(path);
    const json result = json::parse(file, nullptr, false);
    if (!result.is_object() || !result.contains("series")) {
        throw Error("read earlier result", path, "the file holds no result of bench_capacity");
    }
    std::vector<Series> all;
    for (const json &series : result.at("series")) {
        all.push_back({ series.at("role"),
                        series.at("quantity"),
                        series.at("unit"),
                        series.at("size"),
                        {} });
        for (const json &point : series.at("points")) {
            all.back().points.push_back({ point.at(0), point.at(1) });
        }
    }
    return all;
}

void printComparison(const std::string &path, const std::vector<Series> &all)
{
    std::printf("\n%-42s %14s %14s %8s\n", "slope of", "earlier", "now", "ratio");
    for (const Series &earlier : readResult(path)) {
        for (const Series &now : all) {
            if (earlier.name() != now.name()) {
                continue;
            }
            const double slope = fitLine(now.points).slope;
            const double earlierSlope = fitLine(earlier.points).slope;
            std::printf("%-42s %14.4f %14.4f %8.2f\n", now.name().c_str(), earlierSlope, slope,
                        earlierSlope == 0 ? 1.0 : slope / earlierSlope);
        }
    }
}

} // namespace bulrush::bench
