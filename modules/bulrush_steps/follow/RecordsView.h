#pragma once

#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/model/StepJobTable.h"

#include <functional>
#include <vector>

namespace bulrush {

class DecisionLog;

/** How far the streams have been read. */
struct ReadPositions
{
    /** The offset of the next record of each stream. */
    LogOffset jobs = 0;
    LogOffset progress = 0;
    /** The number of records of both streams that are known to follow. */
    std::uint64_t unread = 0;
};

/**
    The state of the jobs in the log, read on demand: by a new owner before it begins, and by any
    node when the owner does not answer.
*/
class RecordsView : private StreamReader::Listener
{
public:
    RecordsView(const Clock &clock, KeyedLog &log, DecisionLog &decisions);

    /** Reads all records up to the current ends of the streams. All calls while a refresh is
        running are served by the next one.
        @param done called with whether the refresh succeeded */
    void refresh(std::function<void(bool)> done);

    const StepJobTable &jobTable() const { return this->table; }

    /** Returns the offset that follows the last record read from the jobs stream. */
    LogOffset nextJobOffset() const { return this->jobs.next(); }

    ReadPositions positions() const
    {
        return { this->jobs.next(), this->progress.next(),
                 this->jobs.unread() + this->progress.unread() };
    }

private:
    void snapshotReadStarted(LogStream stream) override;
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream /*stream*/) override { }
    void readStreams();
    void readNext(StreamReader &reader);
    void onAdvanced(StreamReader &reader, StoreOutcome outcome);
    void onReaderDone(bool succeeded);
    void finish(bool succeeded);

    const Clock &clock;
    DecisionLog &decisions;
    StepJobTable table;
    StreamReader jobs;
    StreamReader progress;
    std::vector<std::function<void(bool)>> waiting;
    /** Callers that arrived during a refresh. They are served by the next one, because the running
        one may have reached the ends of the streams before the call. */
    std::vector<std::function<void(bool)>> nextWaiting;
    bool running = false;
    std::uint32_t activeReaders = 0;
    bool failed = false;
};

} // namespace bulrush
