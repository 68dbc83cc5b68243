#pragma once

#include "bulrush_keys/table/IdempotencyKey.h"
#include "bulrush_keys/table/KeyOperation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** The state of a key after all entries applied so far. */
enum class KeyState : std::uint8_t {
    /** No arrival holds the key. */
    Free,

    /** An arrival holds the key; whether its request ran is not known. */
    Claimed,

    /** The key's request was answered. */
    Completed,

    /** The key has expired, or its entries may have been evicted or dropped from the log. */
    TooOld,

    /** The key's issue time is too far in the future. */
    TooNew,
};

/** The state of a key and its holder. */
struct KeyView
{
    KeyState state = KeyState::Free;

    /** The arrival that holds the key, or held it when it completed. */
    std::string arrival;

    /** The HTTP status of the answer, if the key is completed. */
    int status = 0;
};

/**
    The state of all keys, derived from the keys stream of the log. The first claim in log order
    holds a key until it is released. Duplicate operations have no effect, and a released arrival
    cannot claim the key again.

    Memory is bounded: keys are evicted when their lifetime ends, or earlier if there are too many.
    A key that may have been evicted is TooOld from then on, even if the clock steps back.
*/
class KeyTable
{
public:
    /** The maximum number of keys held in memory. */
    static constexpr std::size_t maxKeys = 100'000;

    /** The maximum number of released arrivals of a key; further releases are ignored, so the key
        stays claimed. */
    static constexpr std::size_t maxReleased = 16;

    explicit KeyTable(KeyValidity times)
        : times(times)
    {
    }

    /**
        Applies an entry; ignored if its offset is below nextOffset(). If the log dropped entries
        that may be younger than a key's lifetime, isCovered() is false for all keys issued so far.
    */
    void apply(std::uint64_t offset, std::string_view text, UnixSeconds calendar);

    /**
        Sets the range of offsets in the log. Call it after applying the entries of a read.

        @param firstRetained the first offset that the log still retains
        @param end           the offset of the next append
    */
    void setLogRange(std::uint64_t firstRetained, std::uint64_t end, UnixSeconds calendar);

    /** Returns the offset to read next. */
    std::uint64_t nextOffset() const { return this->next; }

    /** Returns whether all entries before the log's last known end have been applied. */
    bool isComplete() const { return this->endKnown && this->next >= this->end; }

    /** Returns the state of a key. */
    KeyView view(const IdempotencyKey &key, UnixSeconds calendar) const;

    /** Returns whether all claims of a key are certain to have been read. */
    bool isCovered(const IdempotencyKey &key) const { return key.issuedAt >= this->minIssueTime; }

    /** Evicts keys whose lifetime has ended. */
    void evictExpired(UnixSeconds calendar);

    /** Returns the number of keys held in memory. */
    std::size_t size() const { return this->entries.size(); }

private:
    using EntryKey = std::pair<UnixSeconds, std::string>;

    struct Entry
    {
        std::string arrival;
        int status = 0;
        bool completed = false;
        std::vector<std::string> released;
    };

    void applyOperation(const KeyOperation &operation);
    void evictOldest();
    UnixSeconds expiryCutoff(UnixSeconds calendar) const;
    void raiseMinIssueTime(UnixSeconds calendar);

    const KeyValidity times;
    std::map<EntryKey, Entry> entries;
    std::uint64_t next = 0;
    std::uint64_t end = 0;
    bool endKnown = false;
    bool hasGap = false;

    /** Claims of keys issued before this time may be missing. */
    UnixSeconds minIssueTime = 0;
};

} // namespace bulrush
