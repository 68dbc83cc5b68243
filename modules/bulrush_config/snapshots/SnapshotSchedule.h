#pragma once

#include "bulrush_config/records/Verdict.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace bulrush {

/** How often a snapshot is written. The log has to keep entries more than twice as long. */
struct SnapshotPace
{
    /** Time after a complete snapshot at which the next one is due. */
    Duration period = hours(2);

    /** Time over which the nodes spread, so that mostly one writes and the others see it. */
    Duration spread = minutes(10);
};

/**
    Decides when this node writes a snapshot: when none was completed on the log, by any node, for
    the period and this node's share of the spread.
*/
class SnapshotSchedule
{
public:
    /** @param started when this node began to follow the log */
    SnapshotSchedule(const NodeId &node, Instant started, SnapshotPace pace = {});

    /** Takes an entry that was read from the log; others than parts of snapshots are ignored. */
    void take(std::string_view text, Instant now);

    /** Returns whether this node should write a snapshot now. */
    bool isDue(Instant now) const { return now >= this->lastCompleted + this->wait; }

    /** Notes that this node begins to write one, so that it is not due again at once. */
    void noteWriting(Instant now) { this->lastCompleted = now; }

    /** Returns the next offset of the last complete snapshot that was seen. */
    std::optional<LogOffset> lastSeen() const { return this->lastOffset; }

private:
    struct Progress
    {
        std::string hash;
        std::set<std::size_t> parts;
    };

    Duration wait;
    Instant lastCompleted;
    std::optional<LogOffset> lastOffset;
    std::map<LogOffset, Progress> unfinished;
};

} // namespace bulrush
