#include "bulrush_core/errors/Error.h"
#include "bulrush_interference/bulrush_interference.h"

#include <criterion/criterion.h>

#include <limits>

using namespace bulrush;
using namespace bulrush::interference;

namespace {

const ServiceId service("service");
const BatchClassId noisy("noisy");
const BatchClassId quiet("quiet");

} // namespace

Test(PairEstimates, attributesTheSlowdownToTheClassThatCausesIt)
{
    PairEstimates estimates;
    for (int round = 0; round < 200; ++round) {
        const double noisyShare = 0.1 * (round % 3);
        const double quietShare = 0.1 * (round % 5);
        const std::array shares { ClassShare { noisy, noisyShare },
                                  ClassShare { quiet, quietShare } };
        estimates.observe(service, shares, 1 + 5 * noisyShare, {});
    }
    cr_assert(estimates.estimate(service, noisy, {}).slowdownPerShare > 4);
    cr_assert(estimates.estimate(service, quiet, {}).slowdownPerShare < 0.5);
}

Test(PairEstimates, usesTheDefaultUntilMeasuredAndAgainWhenTheMeasurementsAreOld)
{
    PairEstimates estimates;
    cr_assert_not(estimates.estimate(service, noisy, {}).isMeasured);
    const double assumed = estimates.expectedSlowdownPerShare(service, noisy, {});
    const std::array shares { ClassShare { noisy, 0.3 } };
    for (int round = 0; round < 100; ++round) {
        estimates.observe(service, shares, 1.0, {});
    }
    const double learned = estimates.expectedSlowdownPerShare(service, noisy, {});
    cr_assert(learned < assumed / 3);
    const double old = estimates.expectedSlowdownPerShare(service, noisy, Instant(hours(24)));
    cr_assert(old > learned && old <= assumed);
}

Test(PairEstimates, ignoresMeasurementsThatAreNotFiniteAndPositive)
{
    PairEstimates estimates;
    const std::array shares { ClassShare { noisy, 0.3 } };
    estimates.observe(service, shares, std::numeric_limits<double>::quiet_NaN(), {});
    estimates.observe(service, shares, -1, {});
    estimates.observe(service, shares, std::numeric_limits<double>::infinity(), {});
    cr_assert_eq(estimates.pairCount(), 0U);
}

Test(TokenBucket, refillsOneTokenEachInterval)
{
    TokenBucket bucket(2, seconds(10));
    const auto after = [](int count) { return Instant(seconds(count)); };
    cr_assert(bucket.tryTake(after(100)));
    cr_assert(bucket.tryTake(after(100)));
    cr_assert_not(bucket.tryTake(after(109)));
    cr_assert(bucket.tryTake(after(110)));
    cr_assert_not(bucket.tryTake(after(111)));
    cr_assert_eq(bucket.available(after(1'000)), 2);
}

Test(LadderSettings, rejectsAHysteresisThatIsNotLongerThanTheLag)
{
    LadderSettings settings;
    settings.hysteresis = settings.measurementLag;
    cr_assert_throw(Ladder { settings }, Error);
}

Test(LadderSettings, actsEarlierWhenTailLatencyHasMoreWeight)
{
    const auto tail = LadderSettings::from({ 0.6, 0.2, 0.2 });
    const auto throughput = LadderSettings::from({ 0.2, 0.4, 0.4 });
    cr_assert(tail.isValid() && throughput.isValid());
    cr_assert(tail.stepUpSlowdown < throughput.stepUpSlowdown);
}

Test(PolicyWeights, fallBackToEqualWeightsWhenInvalid)
{
    cr_assert_not(PolicyWeights({ -1, 1, 1 }).isValid());
    const PolicyWeights parts = PolicyWeights { 0, 0, 0 }.normalised();
    cr_assert_eq(parts.tailLatency, parts.evictions);
    cr_assert(parts.tailLatency > 0.3);
}

Test(Ladder, doesNotMoveMoreTasksThanTheBudgetAllows)
{
    LadderSettings settings;
    settings.moveBurst = 1;
    settings.moveInterval = hours(1);
    Ladder ladder(settings);
    const PairEstimates estimates;
    int moves = 0;
    for (int round = 0; round < 10; ++round) {
        const Instant now { minutes(2) * round };
        for (int index = 0; index < 5; ++index) {
            const std::string name = std::to_string(index);
            const std::array tasks { LadderTask { JobId(name), noisy, 0.2, false, false } };
            const WorkerPressure pressure { VmId(name), service, 2.0, now };
            for (const LadderAction &action : ladder.decide(pressure, tasks, estimates, now)) {
                moves += action.kind == LadderActionKind::CheckpointAndMove ? 1 : 0;
            }
        }
    }
    cr_assert_eq(moves, 1);
}

Test(Ladder, doesNotActOnTasksThatCauseNoSlowdown)
{
    Ladder ladder { LadderSettings {} };
    PairEstimates estimates;
    const std::array shares { ClassShare { quiet, 0.3 } };
    for (int round = 0; round < 100; ++round) {
        estimates.observe(service, shares, 1.0, {});
    }
    const std::array tasks { LadderTask { JobId("job"), quiet, 0.3, false, false } };
    const Instant now { minutes(1) };
    const WorkerPressure pressure { VmId("vm"), service, 3.0, now };
    cr_assert(ladder.decide(pressure, tasks, estimates, now).empty());
}

Test(PressureFilter, smoothsNoiseAndDiscardsMeasurementsFromBeforeAnAction)
{
    PressureFilter filter;
    const VmId worker("vm");
    filter.observe(worker, service, 1.0, Instant(seconds(10)));
    filter.observe(worker, service, 2.0, Instant(seconds(20)));
    filter.observe(worker, service, 9.0, Instant(seconds(15)));
    const auto smoothed = filter.largestPressure(worker);
    cr_assert(smoothed->slowdown > 1.3 && smoothed->slowdown < 1.5);
    filter.reset(worker, Instant(seconds(30)));
    filter.observe(worker, service, 5.0, Instant(seconds(25)));
    cr_assert_not(filter.largestPressure(worker).has_value());
    filter.observe(worker, service, 1.1, Instant(seconds(31)));
    cr_assert(filter.largestPressure(worker)->slowdown < 1.2);
}
