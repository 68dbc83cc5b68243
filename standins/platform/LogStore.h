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

/** A contiguous range of records of a stream. */
struct LogPage
{
    /** Offset of the oldest retained record; equal to `next` when there is none. */
    std::uint64_t first = 0;
    /** Offset of the next record to be appended. */
    std::uint64_t next = 0;
    std::vector<LogRecord> records;
};

/** Returns a page in the JSON form of the log's interface. */
nlohmann::json toJson(const LogPage &page);

/** Append-only streams of records, each with offsets from 0. Not safe for concurrent use. */
class LogStore
{
public:
    LogStore() = default;

    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /** Appends a record to a stream and returns its offset. */
    std::uint64_t append(const std::string &stream, std::string body, UnixMs now);

    /**
        Reads records in order.

        @param from the first offset to read; below the page's `first` no records are returned
        @param max  the maximum number of records
    */
    LogPage read(std::string_view stream, std::uint64_t from, std::size_t max) const;

    /** Returns true when a read from this offset would report records or a truncation. */
    bool hasUpdate(std::string_view stream, std::uint64_t from) const;

    /** Retains only the newest records of each stream, now and from now on; 0 retains all. */
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
