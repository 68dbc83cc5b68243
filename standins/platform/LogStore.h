#pragma once

#include "standins/common/ProcessClock.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::standins {

/** One record of a stream. */
struct LogRecord
{
    std::uint64_t offset = 0;
    UnixMs time = 0;
    std::string body;
};

/** A part of a stream. */
struct LogPage
{
    /** Offset of the oldest record that is still kept; equal to `next` when none is. */
    std::uint64_t first = 0;
    /** Offset that the stream's next append will get. */
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

/** Returns a page as the log's interface has it. */
nlohmann::json toJson(const LogPage &page);

/** Append-only streams of records, each with offsets from 0. Not safe for concurrent use. */
class LogStore
{
public:
    LogStore() = default;

    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /** Adds a record to the end of a stream and returns its offset. */
    std::uint64_t append(const std::string &stream, std::string body, UnixMs now);

    /**
        Reads records in order.

        @param from the first offset wanted; below the page's `first` no records are returned
        @param max  the greatest number of records
    */
    LogPage read(std::string_view stream, std::uint64_t from, std::size_t max) const;

    /** Returns true when a read from this offset has something to tell: records or a truncation. */
    bool hasNews(std::string_view stream, std::uint64_t from) const;

    /** Keeps only the newest records of each stream, now and later; 0 keeps all. */
    void retain(std::size_t recordsPerStream);

private:
    struct Stream
    {
        std::uint64_t first = 0;
        std::deque<LogRecord> records;

        std::uint64_t next() const { return this->first + this->records.size(); }
    };

    void truncate(Stream &stream) const;

    std::map<std::string, Stream, std::less<>> streams;
    std::size_t retained = 0;
};

} // namespace bulrush::standins
