#include "explorer/Mutations.h"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace bulrush::explorer;

namespace {

void expectNoFinding(std::uint64_t first, std::uint64_t count)
{
    const auto finding = exploreSeeds({}, first, count);
    cr_assert_not(finding.has_value(), "%s", finding ? describe(*finding).c_str() : "");
}

} // namespace

/** A seed that fails when the guard is disabled; `explore_tasks mutations` finds new seeds. */
struct KnownSeed
{
    std::string_view mutation;
    std::uint64_t seed;
};

constexpr std::array knownSeeds {
    KnownSeed { "claimNeedsNextEpoch", 111 },
    KnownSeed { "claimOfThisProcessOnly", 18 },
    KnownSeed { "operationNeedsEpoch", 47 },
    KnownSeed { "operationNeedsSequence", 132 },
    KnownSeed { "rangesDisjoint", 2 },
    KnownSeed { "fenceOldEpochs", 283 },
    KnownSeed { "batchNeedsSequence", 388 },
    KnownSeed { "refuseTruncated", 7 },
    KnownSeed { "startAfterReadBack", 1 },
    KnownSeed { "checkCapacity", 1 },
    KnownSeed { "newAttemptAfterEnd", 1 },
    KnownSeed { "boundedValidity", 2040 },
    KnownSeed { "renewalHorizon", 248 },
    KnownSeed { "lapseWait", 5 },
    KnownSeed { "goneWait", 1746 },
    KnownSeed { "respectRevocation", 2451 },
    KnownSeed { "stopConfirmed", 1 },
    KnownSeed { "checkpointFromStop", 1 },
    KnownSeed { "endBeforeForget", 2 },
    KnownSeed { "answerInOrder", 17 },
    KnownSeed { "worker: compareToken", 53 },
    KnownSeed { "worker: compareIncarnation", 25 },
    KnownSeed { "worker: compareValidity", 2040 },
    KnownSeed { "worker: runsOutLeases", 23 },
};

// Draws in two arguments of one call come in another order on another processor. The known seeds
// then play other schedules and pass without their guards, as if guards were lost or not needed.
Test(Explorer, drawsTheSameFaultsOnEachProcessor)
{
    const std::vector<std::string> expected {
        "0ms VM w1 joins g1",
        "0ms VM w2 joins g1",
        "0ms n1 takes g1",
        "0ms VM w3 joins g2",
        "0ms VM w4 joins g2",
        "0ms n1 takes g2",
        "0ms n3 takes g2",
        "0ms kill node n3",
        "0ms pause node n3 for 4276ms",
        "0ms VM w2 dies",
        "0ms VM w5 joins g2",
        "0ms worker w1 restarts",
        "0ms worker w3 becomes reachable",
        "0ms link n3-w5 breaks",
        "0ms VM w5 is leaving",
        "0ms evict watch#3",
        "0ms n1 takes g2",
        "0ms restart node n3",
        "0ms pause node n1 for 12430ms",
        "0ms VM w3 dies",
        "0ms VM w6 joins g2",
        "0ms worker w1 restarts",
        "0ms worker w1 becomes unreachable",
        "0ms link n1-w6 works",
        "0ms VM w1 is leaving",
        "0ms evict watch#3",
    };
    const std::vector<std::string> trace = injectEachKind(1);
    cr_assert_eq(trace.size(), expected.size());
    for (std::size_t line = 0; line < expected.size(); ++line) {
        cr_expect(trace[line] == expected[line], "line %zu is '%s' instead of '%s'", line,
                  trace[line].c_str(), expected[line].c_str());
    }
}

Test(Explorer, failsWithEachGuardDisabled)
{
    cr_assert_eq(knownSeeds.size(), mutations().size());
    for (const KnownSeed &known : knownSeeds) {
        for (const Mutation &mutation : mutations()) {
            if (mutation.name != known.mutation) {
                continue;
            }
            Trial trial = mutatedTrial(mutation);
            trial.seed = known.seed;
            cr_expect(explore(trial).has_value(),
                      "the known seed passes without %s; `explore_tasks mutations 10000` may "
                      "find another",
                      std::string(known.mutation).c_str());
        }
    }
}

Test(Explorer, seedsOfTheFirstQuarterFindNoFault)
{
    expectNoFinding(1, 500);
}

Test(Explorer, seedsOfTheSecondQuarterFindNoFault)
{
    expectNoFinding(501, 500);
}

Test(Explorer, seedsOfTheThirdQuarterFindNoFault)
{
    expectNoFinding(1001, 500);
}

Test(Explorer, seedsOfTheFourthQuarterFindNoFault)
{
    expectNoFinding(1501, 500);
}
