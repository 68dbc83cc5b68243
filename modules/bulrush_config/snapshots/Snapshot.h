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

/** Greatest size of the state's text within one part of a snapshot. */
constexpr std::size_t snapshotPartBytes = 16'384;

/** One part of a snapshot, as it stands on the log. */
struct SnapshotPart
{
    /** The offset after the last one that the snapshot holds. */
    LogOffset nextOffset = 0;

    /** Hash of the whole state's text. */
    std::string hash;

    std::size_t part = 0;
    std::size_t parts = 0;
    std::string text;
};

/** Reads a part of a snapshot; nothing where the entry is none or is malformed. */
std::optional<SnapshotPart> readSnapshotPart(std::string_view text);

/** Returns whether a log entry is a part of a snapshot. */
bool isSnapshotPart(std::string_view text);

/**
    Returns the log entries of a snapshot of a state, in order.

    A pure function of the state, and so of the log up to its offset: any node may append them, and
    parts that two nodes wrote can be mixed.

    @throws Error when the state has unsettled names, as the snapshot would lack records
*/
std::vector<std::string> snapshotParts(const RecordState &state);

/** Puts snapshots together from the entries of the log, in any order and with repetitions. */
class SnapshotAssembler
{
public:
    /** How many unfinished snapshots are kept; the oldest is dropped beyond that. */
    static constexpr std::size_t maxUnfinished = 3;

    /** Takes one log entry. @returns a state when this entry completed its snapshot */
    std::optional<RecordState> take(std::string_view text);

private:
    using Parts = std::map<std::size_t, std::string>;

    static std::optional<RecordState> finish(const std::string &hash, const Parts &parts);

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

    std::map<Key, Parts> unfinished;
};

} // namespace bulrush
