#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <cstdint>
#include <map>
#include <random>

namespace bulrush::bench {

/** Simulates a worker that executes every start command for its incarnation. The run time of an
    attempt is random; its mean is the declared run time. */
class SimulatedWorker
{
public:
    SimulatedWorker(const VmId &id, const Resources &capacity, std::uint64_t seed);

    /** Answers a request. @param nowMs the time of the worker's clock */
    ExchangeAnswer handle(const ExchangeRequest &request, std::int64_t nowMs);

private:
    struct HeldAttempt
    {
        InventoryItem item;
        std::int64_t endsAtMs = 0;
    };

    void start(const StartCommand &command, Epoch epoch, std::int64_t nowMs);

    VmId vm;
    Resources capacity;
    std::mt19937_64 random;
    std::map<AttemptId, HeldAttempt> attempts;
};

} // namespace bulrush::bench
