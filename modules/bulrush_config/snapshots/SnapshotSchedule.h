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

/** How often a snapshot is written. The log must retain entries for more than twice that time. */
struct SnapshotTiming
{
    /** Time from a complete snapshot until the next one is due. */
    Duration period = hours(2);

    /** Time over which the nodes' due times are spread, so that usually only one node writes and
        the others read its snapshot. */
    Duration spread = minutes(10);
};

/**
    Decides when this node writes a snapshot: when no node has completed one on the log for the
    period plus this node's delay within the spread.
*/
class SnapshotSchedule
{
public:
    /** @param started when this node started to follow the log */
    SnapshotSchedule(const NodeId &node, Instant started, SnapshotTiming timing = {});

    /** Processes an entry read from the log. Entries other than snapshot parts are ignored. */
    void processEntry(std::string_view text, Instant now);

    /** Returns whether this node should write a snapshot now. */
    bool isDue(Instant now) const { return now >= this->lastCompleted + this->wait; }

    /** Records that this node starts to write a snapshot, so that it is not due again at once. */
    void markWriteStarted(Instant now) { this->lastCompleted = now; }

    /** Returns the next offset of the last complete snapshot that was read from the log. */
    std::optional<LogOffset> lastCompletedOffset() const { return this->completedOffset; }

private:
    struct Progress
    {
        std::string hash;
        std::set<std::size_t> parts;
    };

    Duration wait;
    Instant lastCompleted;
    std::optional<LogOffset> completedOffset;
    std::map<LogOffset, Progress> incomplete;
};

} // namespace bulrush
