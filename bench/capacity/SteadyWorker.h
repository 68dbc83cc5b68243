#pragma once

#include "bulrush_tasks/bulrush_tasks.h"

#include <cstdint>
#include <map>
#include <random>

namespace bulrush::bench {

/** A worker that runs what it is told, each attempt for a time around its declared one. */
class SteadyWorker
{
public:
    SteadyWorker(const VmId &id, const Resources &capacity, std::uint64_t seed);

    /** Answers a request as of a time of the worker's clock. */
    ExchangeAnswer handle(const ExchangeRequest &request, std::int64_t nowMs);

private:
    struct Held
    {
        InventoryItem item;
        std::int64_t endsAtMs = 0;
    };

    void start(const StartCommand &command, Epoch epoch, std::int64_t nowMs);

    VmId vm;
    Resources capacity;
    std::mt19937_64 random;
    std::map<AttemptId, Held> books;
};

} // namespace bulrush::bench
