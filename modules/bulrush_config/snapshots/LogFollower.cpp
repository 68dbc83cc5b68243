#include "bulrush_config/snapshots/LogFollower.h"

#include <algorithm>
#include <utility>

namespace bulrush {

std::vector<Verdict> LogFollower::applyPage(const LogPage &page)
{
    const bool hasGap = this->currentState.nextOffset() < page.firstRetained;
    if (hasGap && !this->scanning) {
        this->scanning = true;
        this->scanOffset = page.firstRetained;
    }
    this->scanning = hasGap;
    if (hasGap) {
        this->scan(page);
    }
    if (this->scanning) {
        this->currentStatus = FollowStatus::Truncated;
        return {};
    }
    std::vector<Verdict> verdicts = this->applyEntries(page);
    this->currentStatus = this->currentState.nextOffset() >= page.end ? FollowStatus::Current
                                                                      : FollowStatus::CatchingUp;
    return verdicts;
}

void LogFollower::scan(const LogPage &page)
{
    this->scanOffset = std::max(this->scanOffset, page.firstRetained);
    for (const LogEntry &entry : page.entries) {
        if (entry.offset != this->scanOffset) {
            continue;
        }
        ++this->scanOffset;
        std::optional<RecordState> snapshot = this->assembler.add(entry.text);
        if (snapshot && snapshot->nextOffset() >= page.firstRetained
            && this->adopt(std::move(*snapshot))) {
            this->scanning = false;
            return;
        }
    }
}

std::vector<Verdict> LogFollower::applyEntries(const LogPage &page)
{
    std::vector<Verdict> verdicts;
    for (const LogEntry &entry : page.entries) {
        if (entry.offset == this->currentState.nextOffset()) {
            verdicts.push_back(this->currentState.apply(entry.offset, entry.text));
        }
    }
    return verdicts;
}

bool LogFollower::adoptPeerState(std::string_view text)
{
    return this->adopt(RecordState::importText(text));
}

bool LogFollower::adopt(RecordState state)
{
    const bool isNewer = state.nextOffset() > this->currentState.nextOffset();
    const bool isMoreSettled = state.nextOffset() == this->currentState.nextOffset()
            && state.unsettled().size() < this->currentState.unsettled().size();
    if (!isNewer && !isMoreSettled) {
        return false;
    }
    state.setCeiling(this->ceiling);
    this->currentState = std::move(state);
    return true;
}

} // namespace bulrush
