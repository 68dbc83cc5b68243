#pragma once

#include "bulrush_config/records/RecordState.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bulrush {

/** Maximum size, in bytes, of the state's text in one part of a snapshot. */
constexpr std::size_t snapshotPartBytes = 16'384;

/** One part of a snapshot, as written to the log. */
struct SnapshotPart
{
    /** The offset after the last entry that the snapshot covers. */
    LogOffset nextOffset = 0;

    /** Hash of the complete state's text. */
    std::string hash;

    std::size_t part = 0;
    std::size_t parts = 0;
    std::string text;
};

/** Parses a snapshot part. Returns nothing if the entry is not a part or is malformed. */
std::optional<SnapshotPart> readSnapshotPart(std::string_view text);

/** Returns whether a log entry is a part of a snapshot. */
bool isSnapshotPart(std::string_view text);

/**
    Returns the log entries of a snapshot of a state, in order.

    The result depends only on the state, and so only on the log up to its offset: any node may
    append the entries, and parts written by two nodes can be combined.

    @throws Error if the state has unsettled names, as the snapshot would lack records
*/
std::vector<std::string> snapshotParts(const RecordState &state);

/** Assembles snapshots from log entries, which may arrive in any order and more than once. */
class SnapshotAssembler
{
public:
    /** Maximum number of incomplete snapshots kept; beyond it, the oldest is dropped. */
    static constexpr std::size_t maxIncomplete = 3;

    /** Adds one log entry. @returns the state if this entry completed its snapshot */
    std::optional<RecordState> add(std::string_view text);

private:
    using Parts = std::map<std::size_t, std::string>;

    static std::optional<RecordState> assemble(const std::string &hash, const Parts &parts);

    struct Key
    {
        LogOffset nextOffset = 0;
        std::string hash;
        std::size_t parts = 0;

        bool operator<(const Key &other) const
        {
            return std::tie(this->nextOffset, this->hash, this->parts)
                    < std::tie(other.nextOffset, other.hash, other.parts);
        }
    };

    std::map<Key, Parts> incomplete;
};

} // namespace bulrush
