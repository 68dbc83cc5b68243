#include "bulrush_evacuation/moves/EvacuationMoves.h"

#include <algorithm>
#include <map>

namespace bulrush {

namespace {

/** At most one of this many workers' worth of tasks is on the move at a time. */
constexpr std::size_t workersPerMove = 16;

} // namespace

std::size_t EvacuationMoves::maxMoving(std::size_t workers)
{
    return std::max<std::size_t>(1, workers / workersPerMove);
}

std::size_t EvacuationMoves::allowed(const EvacuationState &state)
{
    const std::size_t most = maxMoving(state.workers);
    return state.endingTasksWait || state.moving >= most ? 0 : most - state.moving;
}

std::vector<EvacuatedRun> EvacuationMoves::candidates(const EvacuationState &state,
                                                      std::vector<EvacuatedRun> runs)
{
    if (allowed(state) == 0) {
        return {};
    }
    std::stable_sort(runs.begin(), runs.end(), [](const EvacuatedRun &a, const EvacuatedRun &b) {
        return a.placedAt < b.placedAt;
    });
    std::map<std::size_t, std::uint32_t> unavailable;
    std::vector<EvacuatedRun> chosen;
    for (const EvacuatedRun &run : runs) {
        if (run.memberOfGang) {
            continue;
        }
        std::uint32_t &unavailableOfStep =
                unavailable.try_emplace(run.step, run.unavailable).first->second;
        // A task that waits already would take the room that is meant for the moved one.
        if (unavailableOfStep >= std::max(1U, run.maxUnavailable)) {
            continue;
        }
        ++unavailableOfStep;
        chosen.push_back(run);
    }
    return chosen;
}

} // namespace bulrush
