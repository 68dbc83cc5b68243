/**
    bench_routing: compares the routing strategies with a single omniscient queue, under load and
    faults, and measures the time of a routing decision.

    Usage: bench_routing [--seed=N] [--seconds=N] [--case=NAME] [--output=FILE]
*/

#include "DecisionTiming.h"
#include "OmniscientQueue.h"
#include "Simulation.h"
#include "bulrush_core/errors/Error.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <iostream>
#include <string_view>

namespace {

using namespace bulrush;

struct Options
{
    std::uint64_t seed = 1;
    Duration length = seconds(12);
    std::string onlyCase;
    std::string output;
};

Options parse(int argumentCount, char **arguments)
{
    Options options;
    for (int i = 1; i < argumentCount; ++i) {
        const std::string argument(arguments[i]);
        const std::size_t equals = argument.find('=');
        const std::string key = argument.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : argument.substr(equals + 1);
        if (key == "--seed") {
            options.seed = std::stoull(value);
        } else if (key == "--seconds") {
            options.length = seconds(std::stoll(value));
        } else if (key == "--case") {
            options.onlyCase = value;
        } else if (key == "--output") {
            options.output = value;
        } else {
            throw Error("parse options", argument, "unknown option");
        }
    }
    return options;
}

/** Runs all strategies of one case in parallel and prints their measurements. */
nlohmann::json runCase(const bench::Case &benchCase, const Options &options)
{
    const auto arrivals = bench::generateArrivals(benchCase, options.length, options.seed);
    std::vector<std::future<bench::Measures>> runs;
    for (std::size_t kind = 0; kind < routing::TargetChooser::strategyNames().size(); ++kind) {
        runs.push_back(std::async(std::launch::async, [&, kind] {
            const auto strategy = static_cast<routing::StrategyKind>(kind);
            return bench::Simulation(benchCase, arrivals, options.length, strategy, options.seed)
                    .run();
        }));
    }
    const auto best = bench::runOmniscientQueue(benchCase, arrivals, options.length);
    nlohmann::json rows = nlohmann::json::array({ best.toJson() });
    best.print(benchCase.name);
    for (auto &run : runs) {
        const bench::Measures measures = run.get();
        measures.print(benchCase.name);
        rows.push_back(measures.toJson());
    }
    return { { "case", benchCase.name }, { "load", benchCase.load }, { "strategies", rows } };
}

nlohmann::json timeDecisions()
{
    nlohmann::json rows = nlohmann::json::array();
    std::printf("\n%-16s %9s %12s %12s\n", "strategy", "targets", "choice us", "all full us");
    for (const std::size_t targets : { std::size_t(65), std::size_t(1000) }) {
        for (const std::string_view name : routing::TargetChooser::strategyNames()) {
            const auto kind = routing::TargetChooser::strategyFromName(name);
            const double choice = bench::timeChoice(kind, targets, false);
            const double full = bench::timeChoice(kind, targets, true);
            std::printf("%-16s %9zu %12.3f %12.3f\n", std::string(name).c_str(), targets, choice,
                        full);
            rows.push_back({ { "strategy", name },
                             { "targets", targets },
                             { "choice_us", choice },
                             { "all_full_us", full } });
        }
        const double request = bench::timeRequest(targets);
        std::printf("%-16s %9zu %12.3f\n", "whole request", targets, request);
        rows.push_back({ { "strategy", "whole-request" },
                         { "targets", targets },
                         { "choice_us", request } });
    }
    return rows;
}

int runBench(const Options &options)
{
    nlohmann::json results { { "seed", options.seed },
                             { "seconds", duration_cast<seconds>(options.length).count() } };
    bench::Measures::printHeader();
    for (const bench::Case &benchCase : bench::allCases()) {
        if (options.onlyCase.empty() || options.onlyCase == benchCase.name) {
            results["cases"].push_back(runCase(benchCase, options));
        }
    }
    results["decisions"] = timeDecisions();
    if (!options.output.empty()) {
        std::ofstream(options.output) << results.dump(2) << '\n';
    }
    return 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        return runBench(parse(argumentCount, arguments));
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
