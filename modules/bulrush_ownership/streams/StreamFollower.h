#pragma once

#include "bulrush_ownership/streams/Guards.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** The state at an offset, decoded from a snapshot record. */
template<class State>
struct StreamSnapshot
{
    std::uint64_t asOf = 0; ///< the offset of the last record that the state includes
    State state;
};

/**
    Reads one stream from its first offset, or from a snapshot if retention removed the first
    records.

    While records are missing and no snapshot covers them, the follower is not usable, so that a
    truncated stream is never treated as an empty one.

    @tparam State has `void read(std::uint64_t offset, std::string_view payload)` and a static
                  `std::optional<StreamSnapshot<State>> decodeSnapshot(std::string_view payload)`
*/
template<class State>
class StreamFollower
{
public:
    /** Reads the record at an offset; ignores it if the offset is below nextOffset(). */
    void read(std::uint64_t offset, std::string_view payload)
    {
        if (offset < this->next) {
            return;
        }
        this->setFirstRetainedOffset(offset);
        this->next = offset + 1;
        if (!this->hasGap) {
            this->current.read(offset, payload);
            return;
        }
        this->buffered.emplace_back(offset, payload);
        this->applySnapshot(payload);
    }

    /** Sets the first offset that the log still retains. */
    void setFirstRetainedOffset(std::uint64_t firstOffset)
    {
        if (firstOffset <= this->next) {
            return;
        }
        this->next = firstOffset;
        this->buffered.clear();
        this->hasGap = this->guards.refuseTruncated;
    }

    /** Returns whether the state includes all records before nextOffset(). */
    bool isUsable() const { return !this->hasGap; }

    /** Returns the offset to read next. */
    std::uint64_t nextOffset() const { return this->next; }

    const State &state() const { return this->current; }
    State &state() { return this->current; }

private:
    friend struct GuardsAccess;

    using BufferedRecord = std::pair<std::uint64_t, std::string>;

    /** Closes the gap if this record is a snapshot that includes all records before the first
        buffered one. */
    void applySnapshot(std::string_view payload)
    {
        std::optional<StreamSnapshot<State>> snapshot = State::decodeSnapshot(payload);
        if (!snapshot || snapshot->asOf + 1 < this->buffered.front().first) {
            return;
        }
        this->current = std::move(snapshot->state);
        for (const BufferedRecord &record : this->buffered) {
            if (record.first > snapshot->asOf) {
                this->current.read(record.first, record.second);
            }
        }
        this->buffered.clear();
        this->hasGap = false;
    }

    State current;
    std::uint64_t next = 0;
    bool hasGap = false;
    std::vector<BufferedRecord> buffered;
    Guards guards;
};

} // namespace bulrush
