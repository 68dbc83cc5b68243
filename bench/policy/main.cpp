#include "DecisionTime.h"
#include "PolicyRun.h"
#include "Report.h"

#include "bulrush_core/errors/Error.h"

#include <cstdio>
#include <string>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

constexpr std::uint64_t firstSeed = 20'261'203;
constexpr std::uint64_t seedStep = 1'000;
constexpr int defaultSeeds = 10;

Series measure(const Deployment &deployment, Shape shape, const Variant &variant, int seedCount)
{
    Series series { &deployment, shape, &variant, {}, {} };
    for (int index = 0; index < seedCount; ++index) {
        const std::uint64_t seed = firstSeed + seedStep * static_cast<std::uint64_t>(index);
        series.seeds.push_back(seed);
        series.results.push_back(PolicyRun(deployment, shape, variant, seed).run());
    }
    return series;
}

} // namespace

/** Measures the placement policy. Arguments: the result file and the number of seeds. */
int main(int argc, char **argv)
{
    try {
        const std::string path = argc > 1 ? argv[1] : "policy-results.json";
        const int seedCount = argc > 2 ? std::stoi(argv[2]) : defaultSeeds;
        std::vector<Series> all;
        for (const Deployment &deployment : deployments()) {
            for (const Shape shape : allShapes) {
                for (const Variant &variant : allVariants) {
                    all.push_back(measure(deployment, shape, variant, seedCount));
                }
            }
        }
        const auto times = measureDecisionTimes();
        printTables(all);
        printDecisionTimes(times);
        writeJson(path, all, times);
        return 0;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "bench_policy: %s\n", error.what());
        return 1;
    }
}
