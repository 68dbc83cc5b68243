#include "DecisionTiming.h"

#include "bulrush_core/time/SystemClock.h"

#include <algorithm>

namespace bulrush::bench {

using namespace routing;

namespace {

constexpr std::size_t batches = 401;
constexpr std::size_t batchSize = 500;
constexpr unsigned slots = 8;
constexpr unsigned connections = 7;
constexpr Instant start { hours(1) };

TargetSettings settingsOf(std::size_t number)
{
    return { TargetId("executor-" + std::to_string(number)), DataCentreId("dc"), slots,
             connections };
}

/** Returns the median over all batches, in microseconds per item. The median is least affected by
    other load on the machine. */
template<class Batch>
double medianMicroseconds(const Batch &batch)
{
    const SystemClock clock;
    std::vector<double> times;
    for (std::size_t i = 0; i < batches; ++i) {
        const Instant begin = clock.now();
        batch();
        const std::chrono::duration<double, std::micro> taken = clock.now() - begin;
        times.push_back(taken.count() / batchSize);
    }
    std::nth_element(times.begin(), times.begin() + batches / 2, times.end());
    return times[batches / 2];
}

} // namespace

double timeChoice(StrategyKind strategy, std::size_t targets, bool allFull)
{
    TargetTable table { DataCentreId("dc") };
    std::mt19937_64 random(1);
    for (std::size_t i = 0; i < targets; ++i) {
        const TargetIndex index = table.put(settingsOf(i));
        const unsigned load = allFull ? 2 * slots : static_cast<unsigned>(random() % slots);
        table.recordReport(index, TargetReport { load, false }, start);
        table.recordAnswerTime(index, milliseconds(20));
    }
    TargetChooser chooser(strategy);
    return medianMicroseconds([&] {
        for (std::size_t i = 0; i < batchSize; ++i) {
            chooser.choose(table, { start, {} }, random);
        }
    });
}

double timeRequest(std::size_t targets)
{
    Router router(RouterSettings { DataCentreId("dc") });
    for (std::size_t i = 0; i < targets; ++i) {
        router.putTarget(settingsOf(i));
    }
    Instant now = start;
    std::uint64_t number = 0;
    const auto runOne = [&] {
        now += microseconds(50);
        router.tick(now);
        router.arrived(Request { RequestId(++number), now + milliseconds(300) }, now);
        for (const Action &action : router.takeActions()) {
            if (const auto *send = std::get_if<Send>(&action)) {
                router.sendStarted(send->attempt);
                router.answerHead(send->attempt, {}, now);
                router.answerComplete(send->attempt, now);
            }
        }
    };
    return medianMicroseconds([&] {
        for (std::size_t i = 0; i < batchSize; ++i) {
            runOne();
        }
    });
}

} // namespace bulrush::bench
