#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::explorer {

/** A record as a read of the log returns it. */
struct LoggedRecord
{
    std::uint64_t offset = 0;
    std::string payload;
};

/** The result of a read of one stream. */
struct StreamRead
{
    std::uint64_t firstOffset = 0;
    std::vector<LoggedRecord> records;
};

/** The number and the size of the appended records. */
struct AppendTotals
{
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;
};

/** Simulates the platform's append-only log: streams with offsets and limited retention. */
class FakeLog
{
public:
    /** Appends a record immediately. */
    void append(const std::string &stream, std::string_view payload, Instant now);

    /** Removes the records that are older than the retention. */
    void truncate(Instant now, Duration retention);

    /** Returns the retained records of a stream from an offset on. */
    StreamRead read(const std::string &stream, std::uint64_t from) const;

    /** Returns the totals of all appends to the streams whose names start with the prefix. */
    AppendTotals totals(std::string_view prefix) const;

private:
    struct Entry
    {
        Instant at;
        std::string payload;
    };
    struct Stream
    {
        std::uint64_t firstOffset = 0;
        std::vector<Entry> entries;
        AppendTotals totals;
    };

    std::map<std::string, Stream> streams;
};

} // namespace bulrush::explorer
