#pragma once

#include "bulrush_ownership/streams/Guards.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** A state as of an offset, as a snapshot record carries it. */
template<class State>
struct StreamSnapshot
{
    std::uint64_t asOf = 0; ///< the offset of the last record that the state includes
    State state;
};

/**
    Follows one stream from its first offset, or from a snapshot where retention cut it off.

    A reader that lacks records and finds no snapshot that covers them is not usable: it never
    mistakes a truncated stream for an empty one.

    @tparam State has `void read(std::uint64_t offset, std::string_view payload)` and a static
                  `std::optional<StreamSnapshot<State>> snapshotIn(std::string_view payload)`
*/
template<class State>
class StreamFollower
{
public:
    /** Reads the record at an offset; one below the next offset is ignored. */
    void read(std::uint64_t offset, std::string_view payload)
    {
        if (offset < this->next) {
            return;
        }
        this->noteFirstOffset(offset);
        this->next = offset + 1;
        if (!this->missing) {
            this->current.read(offset, payload);
            return;
        }
        this->unread.emplace_back(offset, payload);
        this->bridge(payload);
    }

    /** Tells the first offset that the log still holds. */
    void noteFirstOffset(std::uint64_t firstOffset)
    {
        if (firstOffset <= this->next) {
            return;
        }
        this->next = firstOffset;
        this->unread.clear();
        this->missing = this->guards.refuseTruncated;
    }

    /** Returns whether the state holds everything up to the next offset. */
    bool isUsable() const { return !this->missing; }

    /** Returns the offset that is to be read next. */
    std::uint64_t nextOffset() const { return this->next; }

    const State &state() const { return this->current; }
    State &state() { return this->current; }

private:
    friend struct GuardsAccess;

    using Unread = std::pair<std::uint64_t, std::string>;

    /** Ends the gap where this record is a snapshot that reaches the first unread record. */
    void bridge(std::string_view payload)
    {
        std::optional<StreamSnapshot<State>> snapshot = State::snapshotIn(payload);
        if (!snapshot || snapshot->asOf + 1 < this->unread.front().first) {
            return;
        }
        this->current = std::move(snapshot->state);
        for (const Unread &record : this->unread) {
            if (record.first > snapshot->asOf) {
                this->current.read(record.first, record.second);
            }
        }
        this->unread.clear();
        this->missing = false;
    }

    State current;
    std::uint64_t next = 0;
    bool missing = false;
    std::vector<Unread> unread;
    Guards guards;
};

} // namespace bulrush
