#pragma once

#include "bulrush_core/log/LogTypes.h"
#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The streams that the scheduler reads and writes; each keeps the newest record of a key for ever.
 */
enum class LogStream : std::uint8_t {
    /** Accepted jobs, cancellations and the marks of owners. */
    Jobs,
    /** What ended of each job; written by the owner alone. */
    Progress,
    /** The operators' configuration; read only. */
    Configuration,
    /** What workers say of themselves; read only. */
    Workers,
};

/** A record of a stream. */
struct KeyedRecord
{
    std::string key;
    /** Empty when the key was dropped. */
    std::string value;
    LogOffset offset = 0;
};

/** How a call to the store ended. */
enum class StoreOutcome : std::uint8_t {
    Done,
    /** The store did nothing and said so. */
    Refused,
    /** Another writer has used a higher epoch. */
    Fenced,
    /** The sequence number does not follow the last one. */
    OutOfOrder,
    /** The requested records are no longer kept. */
    Trimmed,
    /** Whether the call took effect is unknown. */
    Unknown,
};

/** Identifies an append, so that a repeat of it takes effect once. */
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
    /** The offset to read from next. */
    LogOffset next = 0;
    /** The offset that the next append will get. */
    LogOffset end = 0;
    /** With Trimmed: the first offset that is kept. */
    LogOffset firstRetained = 0;
    std::vector<KeyedRecord> records;
};

struct NewestResult
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Whether more keys follow the last one. */
    bool more = false;
    LogOffset end = 0;
    std::vector<KeyedRecord> records;
};

/** The platform's log of keyed records. Callbacks are never called from within a call. */
class KeyedLog
{
public:
    KeyedLog() = default;
    virtual ~KeyedLog() = default;
    KeyedLog(const KeyedLog &) = delete;
    KeyedLog &operator=(const KeyedLog &) = delete;

    /** Appends records, all or none. Without records it sets the writer's epoch. */
    virtual void append(LogStream stream, const std::vector<KeyedRecord> &records,
                        const std::optional<WriterMark> &mark, Duration timeout,
                        std::function<void(AppendAnswer)> callback) = 0;

    /** Reads from an offset on. @param wait how long the store waits for a record */
    virtual void read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
                      std::function<void(ReadResult)> callback) = 0;

    /** Reads the newest record of each key behind a key. */
    virtual void newest(LogStream stream, std::string_view afterKey, Duration timeout,
                        std::function<void(NewestResult)> callback) = 0;
};

} // namespace bulrush
