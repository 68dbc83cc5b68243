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
    Holds the records in force: folds the configuration stream, keeps the last entries for peers,
    and writes snapshots before the log's retention passes.
*/
class RecordManager : private LogReader::Listener
{
public:
    /** Hears of changes. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called after one or more entries were folded or a state was adopted. */
        virtual void recordsChanged() = 0;

        /** Called when the log stops or starts to answer. */
        virtual void logAvailabilityChanged(bool available) = 0;
    };

    RecordManager(EventLoop &loop, const Clock &clock, Log &log, const NodeId &node, Duration poll,
                  EventLog &events, Listener &listener);

    RecordManager(const RecordManager &) = delete;
    RecordManager &operator=(const RecordManager &) = delete;

    /** Starts to follow the stream. */
    void start() { this->reader.start(); }

    /** Returns what is in force. */
    const RecordState &state() const { return this->follower.state(); }

    /** Returns whether anything is known yet: the log's end or a peer's state was reached once. */
    bool isUsable() const { return this->usable; }

    /** Returns whether records are better taken from peers now. */
    bool wantsPeers() const;

    /** Returns whether the last read of the log succeeded. */
    bool logAvailable() const { return this->reader.available(); }

    /** Returns the entries kept from an offset on, or none when that one is not kept. */
    std::optional<std::vector<LogEntry>> entriesFrom(LogOffset from) const;

    /** Takes entries that a peer passed on. */
    void applyPeerEntries(const NodeId &peer, const std::vector<LogEntry> &entries);

    /** Takes a peer's state. */
    void applyPeerState(const NodeId &peer, std::string_view text);

    /** Returns the verdict on a publish, once it is known here. */
    const Verdict *verdictOf(std::string_view recordId) const;

    /** Returns the last verdicts, oldest first: the audit trail since this node's start. */
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
