#pragma once

#include "bulrush_config/records/RecordState.h"
#include "bulrush_config/snapshots/Snapshot.h"
#include "bulrush_core/log/LogTypes.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** How a node stands to the configuration stream. */
enum class FollowStatus : std::uint8_t {
    /** Nothing was read yet; nothing is known. */
    Unknown,

    /** Entries up to the log's end are being read. */
    CatchingUp,

    /** All entries up to the log's end of the last read are in force. */
    Current,

    /** The log has dropped entries that this node needs, and no snapshot bridges the gap. */
    Truncated,
};

/**
    Follows the configuration stream: folds its entries, bridges dropped ones by a snapshot from
    the log or a peer's state, and never takes a truncated log for an empty one.

    The caller reads the log from readOffset() on and hands in what it got.
*/
class LogFollower
{
public:
    LogFollower() = default;

    /** @param ceiling the schema versions that count as known */
    explicit LogFollower(SchemaCeiling ceiling)
        : ceiling(std::move(ceiling))
        , folded(this->ceiling)
    {
    }

    /** Returns the offset to read from. */
    LogOffset readOffset() const
    {
        return this->scanning ? this->scanOffset : this->folded.nextOffset();
    }

    /** Takes what a read returned. @returns the verdicts on the entries that were folded */
    std::vector<Verdict> take(const LogPage &page);

    /**
        Takes a peer's exported state. Used only when it is further on, or as far on with fewer
        unsettled names.

        @returns whether it was used
        @throws Error when the text is not a state
    */
    bool takePeerState(std::string_view text);

    FollowStatus status() const { return this->currentStatus; }
    const RecordState &state() const { return this->folded; }

private:
    void scan(const LogPage &page);
    std::vector<Verdict> fold(const LogPage &page);
    bool adopt(RecordState state);

    SchemaCeiling ceiling;
    RecordState folded;
    SnapshotAssembler assembler;
    bool scanning = false;
    LogOffset scanOffset = 0;
    FollowStatus currentStatus = FollowStatus::Unknown;
};

} // namespace bulrush
