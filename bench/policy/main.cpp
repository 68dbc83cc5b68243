#include "DecisionTime.h"
#include "PolicyRun.h"
#include "Report.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <cstdio>
#include <string>

using namespace bulrush;
using namespace bulrush::bench;

namespace {

constexpr std::uint64_t defaultFirstSeed = 20'261'203;
constexpr std::uint64_t seedStep = 1'000;
constexpr int defaultSeeds = 10;

bool isWanted(const Variant &variant, int argc, char **argv)
{
    const auto matches = [&variant](const char *name) { return variant.name == name; };
    return argc <= 4 || std::any_of(argv + 4, argv + argc, matches);
}

Series measure(const Deployment &deployment, Shape shape, const Variant &variant,
               std::uint64_t firstSeed, int seedCount)
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

/** bench_policy: measures the variants of the placement policy.

    Arguments: the result file, the number of seeds, the first seed, and the policies to run, by
    default all. Try changes of the policy on seeds other than the default ones.
*/
int main(int argc, char **argv)
{
    try {
        const std::string path = argc > 1 ? argv[1] : "policy-results.json";
        const int seedCount = argc > 2 ? std::stoi(argv[2]) : defaultSeeds;
        const std::uint64_t firstSeed = argc > 3 ? std::stoull(argv[3]) : defaultFirstSeed;
        std::vector<Series> all;
        for (const Deployment &deployment : deployments()) {
            for (const Shape shape : allShapes) {
                for (const Variant &variant : allVariants) {
                    if (!isWanted(variant, argc, argv)) {
                        continue;
                    }
                    all.push_back(measure(deployment, shape, variant, firstSeed, seedCount));
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
