#pragma once

#include "bulrush_core/time/Clock.h"

#include <algorithm>
#include <cstdint>

namespace bulrush {

/** Exponential backoff with jitter. The jitter is derived from a seed, so that a run can be
    repeated; each node has its own, so that nodes do not retry at the same moment. */
class RetryBackoff
{
public:
    explicit RetryBackoff(std::uint64_t nodeSeed)
        : seed(nodeSeed)
    {
    }

    /** Returns the delay after a refusal; the next one is twice as long, up to a limit. */
    Duration next()
    {
        constexpr std::uint64_t halves = 2;
        const Duration most = this->delay;
        this->delay = std::min<Duration>(this->delay * 2, longest);
        const auto range = static_cast<std::uint64_t>(most.count()) / halves;
        return Duration(most.count() - static_cast<std::int64_t>(this->random() % range));
    }

    /** Called when an append succeeded. */
    void reset() { this->delay = shortest; }

private:
    static constexpr milliseconds shortest { 100 };
    /** A refused append takes no time of the store, and callers wait for the store's return. */
    static constexpr milliseconds longest { 250 };

    /** The generator SplitMix64. */
    std::uint64_t random()
    {
        this->seed += 0x9E3779B97F4A7C15U;
        std::uint64_t mixed = this->seed;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
        return mixed ^ (mixed >> 31U);
    }

    std::uint64_t seed;
    Duration delay = shortest;
};

} // namespace bulrush
