#include "bulrush_config/snapshots/SnapshotSchedule.h"

#include "bulrush_config/snapshots/Snapshot.h"

#include <xxhash.h>

namespace bulrush {

namespace {

constexpr std::size_t maxUnfinished = 8;
constexpr int spreadSteps = 1'000;

/** Returns this node's place within the spread; the same after each restart. */
Duration shareOf(const NodeId &node, Duration spread)
{
    const std::string &name = node.name();
    const auto step = XXH3_64bits(name.data(), name.size()) % spreadSteps;
    return spread * static_cast<int>(step) / spreadSteps;
}

} // namespace

SnapshotSchedule::SnapshotSchedule(const NodeId &node, Instant started, SnapshotPace pace)
    : wait(pace.period + shareOf(node, pace.spread))
    , lastCompleted(started)
{
}

void SnapshotSchedule::take(std::string_view text, Instant now)
{
    const std::optional<SnapshotPart> part = readSnapshotPart(text);
    if (!part) {
        return;
    }
    Progress &progress = this->unfinished[part->nextOffset];
    if (progress.hash != part->hash) {
        progress = { part->hash, {} };
    }
    progress.parts.insert(part->part);
    if (progress.parts.size() == part->parts) {
        this->lastCompleted = now;
        this->lastOffset = part->nextOffset;
        this->unfinished.erase(part->nextOffset);
    }
    if (this->unfinished.size() > maxUnfinished) {
        this->unfinished.erase(this->unfinished.begin());
    }
}

} // namespace bulrush
