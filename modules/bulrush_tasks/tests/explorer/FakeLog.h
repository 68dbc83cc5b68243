#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::explorer {

/** A record as a reader of the log gets it. */
struct LoggedRecord
{
    std::uint64_t offset = 0;
    std::string payload;
};

/** What a read of one stream answers. */
struct StreamRead
{
    std::uint64_t firstOffset = 0;
    std::vector<LoggedRecord> records;
};

/** How much was appended. */
struct AppendTotals
{
    std::uint64_t records = 0;
    std::uint64_t bytes = 0;
};

/** The platform's append-only log: streams with offsets and limited retention. */
class FakeLog
{
public:
    /** Appends a record at once. */
    void append(const std::string &stream, std::string_view payload, Instant now);

    /** Drops what is older than the retention. */
    void truncate(Instant now, Duration retention);

    /** Returns what the log holds of a stream from an offset on. */
    StreamRead read(const std::string &stream, std::uint64_t from) const;

    /** Returns what was ever appended to the streams whose names begin like this. */
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
