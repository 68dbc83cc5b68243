#pragma once

#include "bulrush_config/bulrush_config.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace bulrush::bench {

/** The offset ranges that a node is missing, as in the PACSAT Broadcast Protocol. */
class HoleList
{
public:
    HoleList(LogOffset first, LogOffset end) { this->add(first, end); }

    /** Removes and returns the first missing range for a request to a peer.
        @param maxOffsets the maximum length of the range */
    std::optional<std::pair<LogOffset, LogOffset>> take(LogOffset maxOffsets)
    {
        if (this->holes.empty()) {
            return std::nullopt;
        }
        const auto [first, end] = *this->holes.begin();
        this->holes.erase(this->holes.begin());
        const LogOffset rangeEnd = std::min(end, first + maxOffsets);
        this->add(rangeEnd, end);
        return std::pair { first, rangeEnd };
    }

    /** Adds a missing range, also one that was requested from a peer that did not answer. */
    void add(LogOffset first, LogOffset end)
    {
        if (first < end) {
            this->holes[first] = end;
        }
    }

private:
    std::map<LogOffset, LogOffset> holes;
};

} // namespace bulrush::bench
