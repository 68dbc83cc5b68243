#include "Report.h"

#include "bulrush_core/errors/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace bulrush::bench {

namespace {

double quantileOf(const Series &series, double RunResult::*field, double fraction)
{
    std::vector<double> values;
    for (const RunResult &result : series.results) {
        values.push_back(result.*field);
    }
    std::sort(values.begin(), values.end());
    const double position = fraction * static_cast<double>(values.size() - 1);
    const auto low = static_cast<std::size_t>(position);
    const std::size_t high = std::min(low + 1, values.size() - 1);
    return values[low] + (position - static_cast<double>(low)) * (values[high] - values[low]);
}

double medianCount(const Series &series, int RunResult::*field)
{
    std::vector<int> values;
    for (const RunResult &result : series.results) {
        values.push_back(result.*field);
    }
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2.0;
}

void printRow(const Series &series)
{
    const auto median = [&series](double RunResult::*field) {
        return quantileOf(series, field, 0.5);
    };
    std::printf("%-18.*s %7.1f %7.1f %7.1f  %8.4f [%8.4f %8.4f] %8.1f [%6.1f %6.1f] %7.2f %6.1f "
                "%6.1f %6.1f %6.1f\n",
                static_cast<int>(series.variant->name.size()), series.variant->name.data(),
                median(&RunResult::p50Ms), median(&RunResult::p99Ms), median(&RunResult::p999Ms),
                100 * median(&RunResult::lateShare),
                100 * quantileOf(series, &RunResult::lateShare, 0.25),
                100 * quantileOf(series, &RunResult::lateShare, 0.75),
                median(&RunResult::batchCoreHours),
                quantileOf(series, &RunResult::batchCoreHours, 0.25),
                quantileOf(series, &RunResult::batchCoreHours, 0.75),
                median(&RunResult::lostCoreHours), medianCount(series, &RunResult::evictions),
                medianCount(series, &RunResult::moves),
                medianCount(series, &RunResult::lostWithWorkers),
                median(&RunResult::urgentWaitP99Seconds));
}

nlohmann::json toJson(const RunResult &result, std::uint64_t seed)
{
    return { { "seed", seed },
             { "p50Ms", result.p50Ms },
             { "p99Ms", result.p99Ms },
             { "p999Ms", result.p999Ms },
             { "lateShare", result.lateShare },
             { "batchCoreHours", result.batchCoreHours },
             { "finishedCoreHours", result.finishedCoreHours },
             { "lostCoreHours", result.lostCoreHours },
             { "evictions", result.evictions },
             { "moves", result.moves },
             { "lostWithWorkers", result.lostWithWorkers },
             { "finished", result.finished },
             { "urgentWaitP99Seconds", result.urgentWaitP99Seconds } };
}

} // namespace

void printTables(const std::vector<Series> &all)
{
    const Series *previous = nullptr;
    for (const Series &series : all) {
        const bool isNew = previous == nullptr || previous->deployment != series.deployment
                || previous->shape != series.shape;
        if (isNew) {
            std::printf("\n%s, %s, %zu seeds\n", series.deployment->name.data(),
                        shapeName(series.shape).data(), series.results.size());
            std::printf("%-18s %7s %7s %7s  %8s %19s %8s %15s %7s %6s %6s %6s %6s\n", "policy",
                        "p50 ms", "p99", "p99.9", "late %", "[quartiles]", "batch ch",
                        "[quartiles]", "lost ch", "evict", "moves", "w.lost", "urg s");
        }
        printRow(series);
        previous = &series;
    }
}

void printDecisionTimes(const std::vector<DecisionTime> &times)
{
    std::printf("\n%8s %8s %12s %12s %16s\n", "workers", "tasks", "median us", "p99 us",
                "queue pop us");
    for (const DecisionTime &time : times) {
        std::printf("%8zu %8zu %12.1f %12.1f %16.1f\n", time.workers, time.tasks, time.medianMicros,
                    time.p99Micros, time.popMedianMicros);
    }
}

void writeJson(const std::string &path, const std::vector<Series> &all,
               const std::vector<DecisionTime> &times)
{
    nlohmann::json document { { "runs", nlohmann::json::array() },
                              { "decisionTimes", nlohmann::json::array() } };
    for (const Series &series : all) {
        nlohmann::json runs = nlohmann::json::array();
        for (std::size_t index = 0; index < series.results.size(); ++index) {
            runs.push_back(toJson(series.results[index], series.seeds[index]));
        }
        document["runs"].push_back({ { "deployment", series.deployment->name },
                                     { "shape", shapeName(series.shape) },
                                     { "policy", series.variant->name },
                                     { "results", runs } });
    }
    for (const DecisionTime &time : times) {
        document["decisionTimes"].push_back({ { "workers", time.workers },
                                              { "tasks", time.tasks },
                                              { "medianMicros", time.medianMicros },
                                              { "p99Micros", time.p99Micros },
                                              { "queuePopMicros", time.popMedianMicros } });
    }
    std::ofstream file(path);
    file << document.dump(2) << '\n';
    if (!file) {
        throw Error("write results", path, "cannot be written");
    }
}

} // namespace bulrush::bench
