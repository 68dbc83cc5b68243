#include "OmniscientQueue.h"

#include <queue>

namespace bulrush::bench {

namespace {

/** One slot of an executor; the slot that becomes free first has the highest priority. */
struct Slot
{
    Instant freeAt;
    double serviceFactor;

    bool operator<(const Slot &other) const { return this->freeAt > other.freeAt; }
};

Duration serviceTime(const Arrival &arrival, const Slot &slot)
{
    return duration_cast<Duration>(
            std::chrono::duration<double>(arrival.serviceSeconds * slot.serviceFactor));
}

} // namespace

Measures runOmniscientQueue(const Case &benchCase, const std::vector<Arrival> &arrivals,
                            Duration length)
{
    Measures measures;
    measures.strategy = "one-queue";
    std::priority_queue<Slot> slots;
    for (std::size_t i = 0; i < executorCount * slotsPerExecutor; ++i) {
        const bool slow = isSlow(benchCase, i / slotsPerExecutor);
        slots.push(Slot { Instant {}, slow ? slowFactor : 1.0 });
    }
    const Instant measuredFrom = Instant(hours(1)) + warmUp;
    for (const Arrival &arrival : arrivals) {
        const Slot slot = slots.top();
        const Instant begin = std::max(slot.freeAt, arrival.at + oneWayInside);
        const Instant end = begin + serviceTime(arrival, slot);
        const Duration taken = end + oneWayInside - arrival.at;
        const bool refused = taken > deadlineAfter;
        if (!refused) {
            slots.pop();
            slots.push(Slot { end, slot.serviceFactor });
        }
        if (arrival.at >= measuredFrom) {
            measures.record(refused ? routing::Outcome::NotRun : routing::Outcome::Answered,
                            arrival.requestClass, refused ? Duration(0) : taken);
        }
    }
    measures.finalise(length - warmUp);
    return measures;
}

} // namespace bulrush::bench
