#include "bulrush_node/control/RecordManager.h"

namespace bulrush {

namespace {

constexpr std::string_view recordsStream = "records";

/** Maximum numbers of entries cached for peers and of verdicts stored for operators. */
constexpr std::size_t tailLength = 2'000;
constexpr std::size_t auditLength = 2'000;

} // namespace

RecordManager::RecordManager(EventLoop &loop, const Clock &runtimeClock, Log &platformLog,
                             const NodeId &node, Duration poll, EventLog &eventLog,
                             Listener &recordsListener)
    : clock(runtimeClock)
    , log(platformLog)
    , events(eventLog)
    , listener(recordsListener)
    , schedule(node, runtimeClock.now())
    , reader(loop, runtimeClock, platformLog, recordsStream, poll, *this)
{
}

bool RecordManager::wantsPeerRecords() const
{
    return !this->reader.available() || this->follower.status() == FollowStatus::Truncated;
}

void RecordManager::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    const FollowStatus before = this->follower.status();
    for (const LogEntry &entry : page.entries) {
        this->schedule.processEntry(entry.text, this->clock.now());
    }
    this->apply(page);
    const FollowStatus after = this->follower.status();
    if (after == FollowStatus::Truncated && before != after) {
        this->events.write(Event::LogTruncated, "records",
                           "first retained offset " + std::to_string(page.firstRetained));
    }
    if (after == FollowStatus::Current) {
        this->writeSnapshotIfDue();
        if (!this->usable) {
            this->usable = true;
            this->listener.recordsChanged();
        }
    }
}

void RecordManager::apply(const LogPage &page)
{
    const LogOffset before = this->state().nextOffset();
    for (const Verdict &verdict : this->follower.applyPage(page)) {
        this->recordVerdict(verdict);
    }
    this->cacheEntries(page.entries);
    if (this->state().nextOffset() != before) {
        this->listener.recordsChanged();
    }
}

void RecordManager::cacheEntries(const std::vector<LogEntry> &entries)
{
    for (const LogEntry &entry : entries) {
        if (!this->tail.empty() && entry.offset <= this->tail.back().offset) {
            continue;
        }
        if (!this->tail.empty() && entry.offset != this->tail.back().offset + 1) {
            this->tail.clear();
        }
        this->tail.push_back(entry);
        if (this->tail.size() > tailLength) {
            this->tail.pop_front();
        }
    }
}

void RecordManager::recordVerdict(const Verdict &verdict)
{
    if (verdict.id.empty() || verdict.outcome == RecordOutcome::Ignored) {
        return;
    }
    const bool accepted = verdict.outcome == RecordOutcome::Accepted;
    this->events.write(accepted ? Event::RecordAccepted : Event::RecordRefused, verdict.publisher,
                       verdict.kind + "/" + verdict.name + " id " + verdict.id + " offset "
                               + std::to_string(verdict.offset) + " supersedes '"
                               + verdict.supersedes + "' " + verdict.reason);
    this->verdicts.push_back(verdict);
    this->verdictsById[verdict.id] = verdict;
    if (this->verdicts.size() > auditLength) {
        this->verdictsById.erase(this->verdicts.front().id);
        this->verdicts.pop_front();
    }
}

void RecordManager::availabilityChanged(bool available)
{
    this->events.write(available ? Event::LogAvailable : Event::LogUnavailable, "records", "");
    this->listener.logAvailabilityChanged(available);
}

void RecordManager::writeSnapshotIfDue()
{
    if (!this->schedule.isDue(this->clock.now()) || !this->state().unsettled().empty()) {
        return;
    }
    this->schedule.markWriteStarted(this->clock.now());
    for (std::string &part : snapshotParts(this->state())) {
        this->log.append(recordsStream, std::move(part), [](std::optional<LogOffset>) {});
    }
}

//==============================================================================
std::optional<std::vector<LogEntry>> RecordManager::entriesFrom(LogOffset from) const
{
    if (this->tail.empty() || from < this->tail.front().offset) {
        return std::nullopt;
    }
    std::vector<LogEntry> entries;
    for (const LogEntry &entry : this->tail) {
        if (entry.offset >= from) {
            entries.push_back(entry);
        }
    }
    return entries;
}

void RecordManager::applyPeerEntries(const NodeId &peer, const std::vector<LogEntry> &entries)
{
    if (entries.empty() || entries.front().offset != this->state().nextOffset()) {
        return;
    }
    LogPage page;
    page.firstRetained = entries.front().offset;
    page.end = entries.back().offset + 1;
    page.entries = entries;
    this->events.write(Event::StateFromPeer, peer.name(),
                       std::to_string(entries.size()) + " records");
    this->apply(page);
}

void RecordManager::applyPeerState(const NodeId &peer, std::string_view text)
{
    if (!this->follower.adoptPeerState(text)) {
        return;
    }
    this->events.write(Event::StateFromPeer, peer.name(),
                       "state before offset " + std::to_string(this->state().nextOffset()));
    this->usable = true;
    this->listener.recordsChanged();
}

const Verdict *RecordManager::verdictOf(std::string_view recordId) const
{
    const auto found = this->verdictsById.find(recordId);
    return found == this->verdictsById.end() ? nullptr : &found->second;
}

} // namespace bulrush
