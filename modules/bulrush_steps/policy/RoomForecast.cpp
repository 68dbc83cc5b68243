#include "bulrush_steps/policy/RoomForecast.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrush {

std::optional<Instant> expectedEnd(const Run &run, Instant now)
{
    if (run.stopRequested) {
        return now;
    }
    if (run.runsIndefinitely || run.pacePercent == 0) {
        return std::nullopt;
    }
    const milliseconds expected = run.expected * fullPace / run.pacePercent;
    const Instant end = run.startSentAt + expected;
    // Of a run that takes longer than expected it is not known how much longer.
    return end > now ? end : now + (now - run.startSentAt);
}

std::optional<Instant> roomExpectedAt(const Worker &worker, const ResourceVector &size, Instant now)
{
    ResourceVector room = worker.free();
    if (size.fitsInto(room)) {
        return now;
    }
    std::vector<std::pair<Instant, const Run *>> ends;
    for (const auto &[attempt, run] : worker.runs) {
        if (const std::optional<Instant> end = expectedEnd(run, now)) {
            ends.emplace_back(*end, &run);
        }
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[end, run] : ends) {
        room += run->size;
        if (size.fitsInto(room)) {
            return end;
        }
    }
    return std::nullopt;
}

ResourceVector roomExpectedBy(const Worker &worker, Instant time, Instant now)
{
    ResourceVector room = worker.free();
    for (const auto &[attempt, run] : worker.runs) {
        const std::optional<Instant> end = expectedEnd(run, now);
        if (end && *end <= time) {
            room += run.size;
        }
    }
    return room;
}

} // namespace bulrush
