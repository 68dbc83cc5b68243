#include "bulrush_steps/follow/RecordsView.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

#include <utility>

namespace bulrush {

RecordsView::RecordsView(const Clock &systemClock, KeyedLog &log, DecisionLog &decisionLog)
    : clock(systemClock)
    , decisions(decisionLog)
    , jobs(log, LogStream::Jobs, *this)
    , progress(log, LogStream::Progress, *this)
{
}

void RecordsView::refresh(std::function<void(bool)> done)
{
    if (this->running) {
        this->nextWaiting.push_back(std::move(done));
        return;
    }
    this->waiting.push_back(std::move(done));
    this->readStreams();
}

void RecordsView::readStreams()
{
    this->running = true;
    this->failed = false;
    this->activeReaders = 2;
    this->readNext(this->jobs);
    this->readNext(this->progress);
}

void RecordsView::readNext(StreamReader &reader)
{
    reader.advance(milliseconds(0),
                   [this, &reader](StoreOutcome outcome) { this->onAdvanced(reader, outcome); });
}

void RecordsView::onAdvanced(StreamReader &reader, StoreOutcome outcome)
{
    if (outcome == StoreOutcome::Done && !reader.caughtUp()) {
        this->readNext(reader);
        return;
    }
    this->onReaderDone(outcome == StoreOutcome::Done);
}

void RecordsView::onReaderDone(bool succeeded)
{
    this->failed = this->failed || !succeeded;
    --this->activeReaders;
    if (this->activeReaders == 0) {
        this->finish(!this->failed);
    }
}

void RecordsView::finish(bool succeeded)
{
    this->running = false;
    const auto callers = std::exchange(this->waiting, std::exchange(this->nextWaiting, {}));
    if (!this->waiting.empty()) {
        this->readStreams();
    }
    for (const auto &done : callers) {
        done(succeeded);
    }
}

void RecordsView::snapshotReadStarted(LogStream stream)
{
    if (stream == LogStream::Jobs) {
        // Those that are still on record are read again.
        this->table.forgetOwners();
    }
}

void RecordsView::recordRead(LogStream stream, const KeyedRecord &record)
{
    try {
        if (stream == LogStream::Jobs) {
            this->table.applyJobRecord(record, this->clock);
        } else {
            this->table.applyProgress(record);
        }
    } catch (const Error &error) {
        this->decisions.write(DecisionLine(Event::RecordIgnored)
                                      .with("key", record.key)
                                      .with("offset", record.offset)
                                      .with("reason", error.what()));
    }
}

} // namespace bulrush
