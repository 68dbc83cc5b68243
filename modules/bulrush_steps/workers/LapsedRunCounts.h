#pragma once

#include <cstdint>

namespace bulrush {

/** Numbers of ended runs that workers listed as lapsed, since the start of this node's process. */
struct LapsedRunCounts
{
    /** Listed no later than the longest lease after this node became the owner. */
    std::uint64_t soonAfterTakeover = 0;
    /** Listed later than that. */
    std::uint64_t later = 0;

    std::uint64_t all() const { return this->soonAfterTakeover + this->later; }

    /** Returns what was counted since an earlier state of these counts. */
    LapsedRunCounts since(const LapsedRunCounts &before) const
    {
        return { this->soonAfterTakeover - before.soonAfterTakeover, this->later - before.later };
    }
};

} // namespace bulrush
