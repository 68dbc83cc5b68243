#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush {

/** A position on a stream of the log. */
using LogOffset = std::uint64_t;

/** One entry of a stream of the log. */
struct LogEntry
{
    LogOffset offset = 0;
    std::string text;
};

/** What one read of a stream returned. */
struct LogPage
{
    /** The first offset that the log still holds. */
    LogOffset firstRetained = 0;

    /** The offset that the next append will get. */
    LogOffset end = 0;

    /** Entries in order, from the offset that was asked for. */
    std::vector<LogEntry> entries;
};

} // namespace bulrush
