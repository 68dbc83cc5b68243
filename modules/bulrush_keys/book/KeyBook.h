#pragma once

#include "bulrush_keys/book/IdempotencyKey.h"
#include "bulrush_keys/book/KeyOperation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** How a key stands after all entries read so far. */
enum class KeyStanding : std::uint8_t {
    /** No arrival holds it. */
    Free,

    /** An arrival claimed it; whether its request ran is not known. */
    Claimed,

    /** Its request was answered. */
    Completed,

    /** It is so old that its entries may be forgotten. */
    TooOld,

    /** Its issue time lies too far ahead. */
    TooNew,
};

/** What the book says of a key. */
struct KeyView
{
    KeyStanding standing = KeyStanding::Free;

    /** The arrival that holds the key, or held it when it completed. */
    std::string arrival;

    /** The HTTP status of the answer, where it completed. */
    int status = 0;
};

/**
    The keys stream of the log, folded: the first claim in log order holds a key until it is
    released. Repeated operations change nothing, and a released arrival never claims again.

    Memory is bounded: entries are forgotten with their key's lifetime, and earlier when there are
    too many. A key that may have been forgotten is TooOld from then on, whatever the clock does.
*/
class KeyBook
{
public:
    /** The greatest number of keys that are remembered. */
    static constexpr std::size_t maxKeys = 100'000;

    /** How many arrivals of a key may be released; after that the key stays closed. */
    static constexpr std::size_t maxReleased = 16;

    explicit KeyBook(KeyTimes times)
        : times(times)
    {
    }

    /**
        Folds an entry; one before nextOffset() is ignored. Where the log dropped entries that may
        be younger than a key's lifetime, all keys issued so far become doubtful.
    */
    void apply(std::uint64_t offset, std::string_view text, UnixSeconds calendar);

    /**
        Notes how far the log reaches, after the entries of a read were applied.

        @param firstRetained the first offset that the log still holds
        @param end           the offset that the next append will get
    */
    void noteEnd(std::uint64_t firstRetained, std::uint64_t end, UnixSeconds calendar);

    /** Returns the offset to read from. */
    std::uint64_t nextOffset() const { return this->next; }

    /** Returns whether everything up to the log's last known end has been applied. */
    bool isComplete() const { return this->endKnown && this->next >= this->end; }

    /** Returns how a key stands. */
    KeyView view(const IdempotencyKey &key, UnixSeconds calendar) const;

    /** Returns whether all claims of a key are sure to have been read. */
    bool isCovered(const IdempotencyKey &key) const { return key.issuedAt >= this->floor; }

    /** Forgets keys beyond their lifetime. */
    void forgetOld(UnixSeconds calendar);

    /** Returns how many keys are remembered. */
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
    void forgetFirst();
    UnixSeconds oldestKept(UnixSeconds calendar) const;
    void doubtAll(UnixSeconds calendar);

    const KeyTimes times;
    std::map<EntryKey, Entry> entries;
    std::uint64_t next = 0;
    std::uint64_t end = 0;
    bool endKnown = false;
    bool gapOpen = false;

    /** Claims of keys issued before this time may be missing. */
    UnixSeconds floor = 0;
};

} // namespace bulrush
