#pragma once

#include "bulrush_steps/follow/StreamScan.h"
#include "bulrush_steps/model/StepJobBook.h"

#include <functional>
#include <vector>

namespace bulrush {

class DecisionLog;

/**
    What the log tells of jobs, read when it is asked for: by a new owner before it begins, and by
    any node when the owner cannot be asked.
*/
class RecordsView : private StreamScan::Listener
{
public:
    RecordsView(const Clock &clock, KeyedLog &log, DecisionLog &decisions);

    /** Reads all that is on record at this moment. @param done told whether that succeeded */
    void refresh(std::function<void(bool)> done);

    const StepJobBook &book() const { return this->jobBook; }

    /** Returns the offset of the jobs' stream behind the last record that was read. */
    LogOffset nextJobOffset() const { return this->jobs.next(); }

private:
    void scanBegins(LogStream stream) override;
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void scanEnded(LogStream /*stream*/) override { }
    void readOn(StreamScan &scan);
    void advanced(StreamScan &scan, StoreOutcome outcome);
    void scanDone(bool succeeded);
    void finish(bool succeeded);

    const Clock &clock;
    DecisionLog &decisions;
    StepJobBook jobBook;
    StreamScan jobs;
    StreamScan progress;
    std::vector<std::function<void(bool)>> waiting;
    /** Callers that came while a reading was under way: it may have passed what they ask for. */
    std::vector<std::function<void(bool)>> waitingForNext;
    bool running = false;
    std::uint32_t openScans = 0;
    bool failed = false;
};

} // namespace bulrush
