#pragma once

#include "bulrush_core/log/LogTypes.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The streams that the scheduler reads and writes. Each retains the newest record of every key
    without a time limit. */
enum class LogStream : std::uint8_t {
    /** Accepted jobs, cancellations, and owner and resignation records. */
    Jobs,
    /** The progress of each job, and the roster; written only by the owner. */
    Progress,
    /** The operators' configuration; read-only. */
    Configuration,
    /** The entries that workers publish about themselves; read-only. */
    Workers,
};

/** A record of a stream. */
struct KeyedRecord
{
    std::string key;
    /** Empty when the key was removed. */
    std::string value;
    LogOffset offset = 0;

    /** Returns the number of bytes that count against the limits of the store. */
    std::size_t size() const
    {
        constexpr std::size_t keyLengthBytes = 1;
        return keyLengthBytes + this->key.size() + this->value.size();
    }
};

/** The store's limits on appends, in bytes. It rejects what exceeds them, however often it is sent.
 */
struct LogLimits
{
    /** What the length of a record takes of an append. */
    static constexpr std::size_t lengthBytes = 4;

    /** Of one record. */
    std::size_t record = 262'144;
    /** Of all records of one append, each with its length. */
    std::size_t append = 2'097'152;

    /** Returns what a record takes of an append. */
    static std::size_t sizeInAppend(const KeyedRecord &record)
    {
        return lengthBytes + record.size();
    }

    /** Returns what a record of the greatest size takes of an append. */
    static std::size_t sizeOfLongestInAppend(const LogLimits &limits)
    {
        return lengthBytes + limits.record;
    }
};

/** How a call to the store ended. */
enum class StoreOutcome : std::uint8_t {
    Done,
    /** The store rejected the call; it had no effect. */
    Refused,
    /** The store rejects the request itself, for example for its size. It had no effect, and is not
        to be sent again. */
    Invalid,
    /** Another writer has used a higher epoch. */
    Fenced,
    /** The sequence number is not the successor of the last one. */
    OutOfOrder,
    /** The requested records are no longer retained. */
    Trimmed,
    /** It is unknown whether the call took effect. */
    Unknown,
};

/** Identifies an append, so that a repeated append takes effect only once. */
struct WriterMark
{
    std::string writer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

struct AppendAnswer
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Offset of the first record. */
    LogOffset offset = 0;
    /** With OutOfOrder: the sequence number that the store expects. */
    std::uint64_t expectedSequence = 0;
};

struct ReadResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Offset of the next read. */
    LogOffset next = 0;
    /** Offset that the next append will receive. */
    LogOffset end = 0;
    /** With Trimmed: the first offset that is still retained. */
    LogOffset firstRetained = 0;
    std::vector<KeyedRecord> records;
};

struct NewestResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Whether further keys follow the last one in records. */
    bool more = false;
    LogOffset end = 0;
    std::vector<KeyedRecord> records;
};

/** Interface to the platform's log of keyed records. Callbacks are always asynchronous: never
    invoked from within the call that they belong to. */
class KeyedLog
{
public:
    KeyedLog() = default;
    virtual ~KeyedLog() = default;
    KeyedLog(const KeyedLog &) = delete;
    KeyedLog &operator=(const KeyedLog &) = delete;

    virtual LogLimits limits() const { return {}; }

    /** Appends records atomically. Without records, only sets the writer's epoch. */
    virtual void append(LogStream stream, const std::vector<KeyedRecord> &records,
                        const std::optional<WriterMark> &mark, Duration timeout,
                        std::function<void(AppendAnswer)> callback) = 0;

    /** Reads records starting at an offset. @param wait how long the store waits for a record
        when there is none yet */
    virtual void read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
                      std::function<void(ReadResult)> callback) = 0;

    /** Reads the newest record of each key after a given key; paged. */
    virtual void newest(LogStream stream, std::string_view afterKey, Duration timeout,
                        std::function<void(NewestResult)> callback) = 0;
};

} // namespace bulrush
