#pragma once

#include "bulrush_config/records/RecordState.h"
#include "bulrush_config/snapshots/Snapshot.h"
#include "bulrush_core/log/LogTypes.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** How far a node has read the configuration stream. */
enum class FollowStatus : std::uint8_t {
    /** Nothing has been read yet. */
    Unknown,

    /** Not all entries up to the log's end have been read yet. */
    CatchingUp,

    /** All entries up to the log's end, as of the last read, have been applied. */
    Current,

    /** The log has dropped entries that this node needs, and no snapshot covers the gap. */
    Truncated,
};

/**
    Follows the configuration stream: applies its entries, covers dropped entries with a snapshot
    from the log or a peer's state, and never treats a truncated log as an empty one.

    The caller reads the log from readOffset() on and passes in each page.
*/
class LogFollower
{
public:
    LogFollower() = default;

    /** @param ceiling the schema versions that count as known */
    explicit LogFollower(SchemaCeiling ceiling)
        : ceiling(std::move(ceiling))
        , currentState(this->ceiling)
    {
    }

    /** Returns the offset to read from. */
    LogOffset readOffset() const
    {
        return this->scanning ? this->scanOffset : this->currentState.nextOffset();
    }

    /** Processes a page read from the log. @returns the verdicts on the entries applied */
    std::vector<Verdict> applyPage(const LogPage &page);

    /**
        Adopts a peer's exported state if its next offset is greater, or equal with fewer unsettled
        names.

        @returns whether the state was adopted
        @throws Error if the text is not a state
    */
    bool adoptPeerState(std::string_view text);

    FollowStatus status() const { return this->currentStatus; }
    const RecordState &state() const { return this->currentState; }

private:
    void scan(const LogPage &page);
    std::vector<Verdict> applyEntries(const LogPage &page);
    bool adopt(RecordState state);

    SchemaCeiling ceiling;
    RecordState currentState;
    SnapshotAssembler assembler;
    bool scanning = false;
    LogOffset scanOffset = 0;
    FollowStatus currentStatus = FollowStatus::Unknown;
};

} // namespace bulrush
