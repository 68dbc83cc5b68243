#include "AppendSimulation.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

AppendLoad loadOf(AppendMode mode, std::size_t nodes)
{
    AppendLoad load;
    load.mode = mode;
    load.nodes = nodes;
    return load;
}

std::size_t total(const AppendFigures &figures)
{
    return figures.recorded + figures.refused + figures.unknown;
}

} // namespace

/* The failure that the queue guards against: with an append for each record, duplicates of
   abandoned appends fill the partition's queue, and nothing is recorded in time. */
Test(AppendLoad, anAppendForEachRecordCollapsesWhileTheStoreIsSlow)
{
    for (const std::size_t nodes : { 35, 97 }) {
        const AppendFigures figures = AppendSimulation(loadOf(AppendMode::EachAlone, nodes)).run();
        cr_expect_lt(figures.recordedWhileSlow, 60U);
        cr_expect_gt(figures.unknown, 300U);
    }
}

Test(AppendLoad, recordsThatAreHandedOverAreRecordedWhileTheStoreIsSlow)
{
    for (const std::size_t nodes : { 35, 97 }) {
        const AppendFigures figures = AppendSimulation(loadOf(AppendMode::HandedOver, nodes)).run();
        cr_expect_gt(figures.recorded, total(figures) * 95 / 100, "%zu of %zu with %zu nodes",
                     figures.recorded, total(figures), nodes);
        cr_expect_eq(figures.untrue, 0U);
        cr_expect_leq(figures.longestWait, milliseconds(2750));
    }
}

/* Without an owner, the nodes' appends share what the partition can take, and the rest is refused
   truthfully. */
Test(AppendLoad, withoutAnOwnerMoreIsRecordedThanWithAnAppendForEachRecord)
{
    const AppendFigures before = AppendSimulation(loadOf(AppendMode::EachAlone, 35)).run();
    const AppendFigures grouped = AppendSimulation(loadOf(AppendMode::Grouped, 35)).run();
    cr_expect_gt(grouped.recorded, before.recorded);
    cr_expect_lt(grouped.unknown, before.unknown);
    cr_expect_eq(grouped.untrue, 0U);
}

/* Flow control must not delay records while the store is quick. */
Test(AppendLoad, eachRecordIsSentAtOnceWhileTheStoreIsQuick)
{
    AppendLoad load = loadOf(AppendMode::HandedOver, 97);
    load.slowFrom = load.slowUntil;
    const AppendFigures figures = AppendSimulation(load).run();
    cr_expect_eq(figures.recorded, total(figures));
    cr_expect_eq(figures.appends, figures.recorded);
    cr_expect_leq(figures.longestWait, milliseconds(8));
}

Test(AppendLoad, anAppendOfAQuarterOfASecondIsSurvived)
{
    AppendLoad load = loadOf(AppendMode::HandedOver, 97);
    load.slowService = milliseconds(250);
    load.slowDelay = milliseconds(10);
    const AppendFigures figures = AppendSimulation(load).run();
    cr_expect_gt(figures.recorded, total(figures) * 70 / 100, "%zu of %zu", figures.recorded,
                 total(figures));
    cr_expect_eq(figures.untrue, 0U);
}

/* An owner that fails with records in its queue must neither lose them silently nor make an answer
   untrue. */
Test(AppendLoad, theOwnerFailsWithRecordsOfOthers)
{
    AppendLoad load = loadOf(AppendMode::HandedOver, 35);
    load.ownerFailsAt = milliseconds(6000);
    const AppendFigures figures = AppendSimulation(load).run();
    cr_expect_eq(figures.untrue, 0U);
    cr_expect_gt(figures.recorded, total(figures) / 2);
}

/* An owner of an earlier version does not answer records. */
Test(AppendLoad, anOwnerThatDoesNotAnswerIsNoWorseThanNone)
{
    AppendLoad load = loadOf(AppendMode::HandedOver, 35);
    load.ownerAnswers = false;
    const AppendFigures figures = AppendSimulation(load).run();
    const AppendFigures before = AppendSimulation(loadOf(AppendMode::EachAlone, 35)).run();
    cr_expect_eq(figures.untrue, 0U);
    cr_expect_gt(figures.recorded, before.recorded);
}
