#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bulrush {

/** A position in a stream of the log. */
using LogOffset = std::uint64_t;

/** One entry of a stream of the log. */
struct LogEntry
{
    LogOffset offset = 0;
    std::string text;
};

/** The result of one read from a stream. */
struct LogPage
{
    /** The first offset that the log retains. */
    LogOffset firstRetained = 0;

    /** The offset that the next append will get. */
    LogOffset end = 0;

    /** Entries in order, starting at the requested offset. */
    std::vector<LogEntry> entries;
};

} // namespace bulrush
