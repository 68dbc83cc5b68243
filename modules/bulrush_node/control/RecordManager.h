#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/bulrush_core.h"
#include "bulrush_platform/bulrush_platform.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/**
    Maintains the records in force: applies the entries of the configuration stream, caches the
    latest entries for peers, and writes snapshots before the log's retention removes entries.
*/
class RecordManager : private LogReader::Listener
{
public:
    /** Receives changes. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when the records become usable, and after entries or the state of a peer were
            applied. */
        virtual void recordsChanged() = 0;

        /** Called when the log stops answering or answers again. */
        virtual void logAvailabilityChanged(bool available) = 0;
    };

    RecordManager(EventLoop &loop, const Clock &clock, Log &log, const NodeId &node, Duration poll,
                  EventLog &events, Listener &listener);

    RecordManager(const RecordManager &) = delete;
    RecordManager &operator=(const RecordManager &) = delete;

    /** Starts reading the stream. */
    void start() { this->reader.start(); }

    /** Returns the records in force. */
    const RecordState &state() const { return this->follower.state(); }

    /** Returns whether the end of the log was reached once, or a peer's state was applied. */
    bool isUsable() const { return this->usable; }

    /** Returns whether to request records from peers: the log does not answer or is truncated. */
    bool wantsPeerRecords() const;

    /** Returns whether the last read of the log succeeded. */
    bool logAvailable() const { return this->reader.available(); }

    /** Returns the cached entries from an offset on, or nothing when the cache does not reach back
        to it. */
    std::optional<std::vector<LogEntry>> entriesFrom(LogOffset from) const;

    /** Applies entries from a peer; ignored unless they continue the records in force. */
    void applyPeerEntries(const NodeId &peer, const std::vector<LogEntry> &entries);

    /** Applies the state of a peer; ignored when the log follower rejects it. */
    void applyPeerState(const NodeId &peer, std::string_view text);

    /** Returns the verdict on a published record, or null when this node knows none. */
    const Verdict *verdictOf(std::string_view recordId) const;

    /** Returns the latest verdicts since this node's start, oldest first, as an audit trail. */
    const std::deque<Verdict> &audit() const { return this->verdicts; }

private:
    LogOffset readOffset() const override { return this->follower.readOffset(); }
    void pageRead(const LogPage &page, Instant sentAt) override;
    void availabilityChanged(bool available) override;

    void apply(const LogPage &page);
    void recordVerdict(const Verdict &verdict);
    void cacheEntries(const std::vector<LogEntry> &entries);
    void writeSnapshotIfDue();

    const Clock &clock;
    Log &log;
    EventLog &events;
    Listener &listener;
    LogFollower follower;
    std::deque<LogEntry> tail;
    std::deque<Verdict> verdicts;
    std::map<std::string, Verdict, std::less<>> verdictsById;
    SnapshotSchedule schedule;
    bool usable = false;
    LogReader reader;
};

} // namespace bulrush
