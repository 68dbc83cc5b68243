#pragma once

#include "bulrush_config/bulrush_config.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace bulrush::bench {

/** The offset ranges that a node still lacks, as in the PACSAT Broadcast Protocol. */
class HoleList
{
public:
    HoleList(LogOffset first, LogOffset end) { this->add(first, end); }

    /** Takes a range of at most some offsets out of the list, to be asked of a peer. */
    std::optional<std::pair<LogOffset, LogOffset>> take(LogOffset most)
    {
        if (this->holes.empty()) {
            return std::nullopt;
        }
        const auto [first, end] = *this->holes.begin();
        this->holes.erase(this->holes.begin());
        const LogOffset cut = std::min(end, first + most);
        this->add(cut, end);
        return std::pair { first, cut };
    }

    /** Puts a range back, as when a peer did not answer. */
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
