// Records a second and the longest wait of callers' records while the store is slow, before and
// after flow control. Simulated time, so the figures are the same on every machine.
#include "bulrush_appends/tests/AppendSimulation.h"

#include <iomanip>
#include <iostream>

namespace {

using namespace bulrush;
using namespace bulrush::test;

/** The part of an answer's time for which the partition is busy with the append. */
constexpr int answerToService = 4;

void measure(AppendMode mode, const char *name, milliseconds answer, std::size_t nodes)
{
    AppendLoad load;
    load.mode = mode;
    load.nodes = nodes;
    load.slowService = answer / answerToService;
    load.slowDelay = answer - load.slowService;
    const AppendFigures figures = AppendSimulation(load).run();
    const double slowSeconds =
            std::chrono::duration<double>(load.slowUntil - load.slowFrom).count();
    std::cout << "| " << answer.count() << " | " << nodes << " | " << name << " | " << std::fixed
              << std::setprecision(1)
              << static_cast<double>(figures.recordedWhileSlow) / slowSeconds << " | "
              << duration_cast<milliseconds>(figures.longestWait).count() << " | "
              << figures.recorded << " | " << figures.refused << " | " << figures.unknown << " | "
              << figures.untrue << " |\n";
}

} // namespace

int main()
{
    std::cout << "| answer, ms | nodes | mode | records/s while slow | longest wait, ms | recorded "
                 "| refused | unknown | untrue |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const milliseconds answer : { milliseconds(4), milliseconds(60), milliseconds(250) }) {
        for (const std::size_t nodes : { 10, 35, 97, 300 }) {
            measure(AppendMode::EachAlone, "before", answer, nodes);
            measure(AppendMode::Grouped, "grouped", answer, nodes);
            measure(AppendMode::HandedOver, "handed over", answer, nodes);
        }
    }
}
