#include "DecisionTiming.h"

#include "bulrush_core/time/SystemClock.h"

namespace bulrush::bench {

using namespace routing;

namespace {

constexpr std::size_t rounds = 200'000;
constexpr unsigned slots = 8;
constexpr unsigned connections = 7;
constexpr Instant start { hours(1) };

TargetSettings settingsOf(std::size_t number)
{
    return { TargetId("executor-" + std::to_string(number)), DataCentreId("dc"), slots,
             connections };
}

double microsecondsEach(Duration total)
{
    return std::chrono::duration<double, std::micro>(total).count() / rounds;
}

} // namespace

double timeChoice(StrategyKind strategy, std::size_t targets, bool allFull)
{
    TargetTable table { DataCentreId("dc") };
    std::mt19937_64 random(1);
    for (std::size_t i = 0; i < targets; ++i) {
        const TargetIndex index = table.put(settingsOf(i));
        const unsigned load = allFull ? 2 * slots : static_cast<unsigned>(random() % slots);
        table.noteReport(index, TargetReport { load, false }, start);
        table.noteAnswerTime(index, milliseconds(20));
    }
    TargetChooser chooser(strategy);
    const SystemClock clock;
    const Instant begin = clock.now();
    std::size_t found = 0;
    for (std::size_t i = 0; i < rounds; ++i) {
        found += chooser.choose(table, { start, {} }, random).has_value() ? 1 : 0;
    }
    const Duration taken = clock.now() - begin;
    return found > rounds ? 0 : microsecondsEach(taken);
}

double timeRequest(std::size_t targets)
{
    Router router(RouterSettings { DataCentreId("dc") });
    for (std::size_t i = 0; i < targets; ++i) {
        router.putTarget(settingsOf(i));
    }
    const SystemClock clock;
    const Instant begin = clock.now();
    Instant now = start;
    for (std::size_t i = 0; i < rounds; ++i) {
        now += microseconds(50);
        router.tick(now);
        router.arrived(Request { RequestId(i), now + milliseconds(300) }, now);
        for (const Action &action : router.takeActions()) {
            if (const auto *send = std::get_if<Send>(&action)) {
                router.bytesLeft(send->attempt);
                router.answerHead(send->attempt, {}, now);
                router.answerComplete(send->attempt, now);
            }
        }
    }
    return microsecondsEach(clock.now() - begin);
}

} // namespace bulrush::bench
