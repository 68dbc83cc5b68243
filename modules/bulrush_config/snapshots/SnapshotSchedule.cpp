#include "bulrush_config/snapshots/SnapshotSchedule.h"

#include "bulrush_config/snapshots/Snapshot.h"

#include <xxhash.h>

namespace bulrush {

namespace {

constexpr std::size_t maxIncomplete = 8;
constexpr int spreadSteps = 1'000;

/** Returns this node's delay within the spread. It is the same after each restart. */
Duration delayOf(const NodeId &node, Duration spread)
{
    const std::string &name = node.name();
    const auto step = XXH3_64bits(name.data(), name.size()) % spreadSteps;
    return spread * static_cast<int>(step) / spreadSteps;
}

} // namespace

SnapshotSchedule::SnapshotSchedule(const NodeId &node, Instant started, SnapshotTiming timing)
    : wait(timing.period + delayOf(node, timing.spread))
    , lastCompleted(started)
{
}

void SnapshotSchedule::processEntry(std::string_view text, Instant now)
{
    const std::optional<SnapshotPart> part = readSnapshotPart(text);
    if (!part) {
        return;
    }
    Progress &progress = this->incomplete[part->nextOffset];
    if (progress.hash != part->hash) {
        progress = { part->hash, {} };
    }
    progress.parts.insert(part->part);
    if (progress.parts.size() == part->parts) {
        this->lastCompleted = now;
        this->completedOffset = part->nextOffset;
        this->incomplete.erase(part->nextOffset);
    }
    if (this->incomplete.size() > maxIncomplete) {
        this->incomplete.erase(this->incomplete.begin());
    }
}

} // namespace bulrush
