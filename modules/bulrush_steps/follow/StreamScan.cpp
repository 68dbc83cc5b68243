#include "bulrush_steps/follow/StreamScan.h"

#include <utility>

namespace bulrush {

namespace {

/** Beyond the time that the store was asked to wait. */
constexpr milliseconds callTimeout { 900 };

} // namespace

StreamScan::StreamScan(KeyedLog &keyedLog, LogStream logStream, Listener &recordListener)
    : log(keyedLog)
    , stream(logStream)
    , listener(recordListener)
{
}

StreamScan::~StreamScan()
{
    *this->living = false;
}

void StreamScan::restart()
{
    this->scanned = false;
    this->atEnd = false;
    this->firstPage = true;
    this->afterKey.clear();
}

void StreamScan::startAt(LogOffset offset)
{
    this->scanned = true;
    this->atEnd = false;
    this->nextOffset = offset;
}

void StreamScan::advance(milliseconds wait, std::function<void(StoreOutcome)> done)
{
    this->inFlight = true;
    this->whenDone = std::move(done);
    if (this->scanned) {
        this->readOn(wait);
    } else {
        this->readNewest();
    }
}

void StreamScan::readNewest()
{
    this->log.newest(this->stream, this->afterKey, callTimeout,
                     [this, current = this->living](const NewestResult &result) {
                         if (*current) {
                             this->newestAnswered(result);
                         }
                     });
}

void StreamScan::newestAnswered(const NewestResult &result)
{
    if (result.outcome != StoreOutcome::Done) {
        this->finish(result.outcome);
        return;
    }
    if (this->firstPage) {
        // Pages are no snapshot: what changes while they are read is read again from here.
        this->firstPage = false;
        this->nextOffset = result.end;
        this->listener.scanBegins(this->stream);
    }
    for (const KeyedRecord &record : result.records) {
        this->afterKey = record.key;
        this->listener.recordRead(this->stream, record);
    }
    if (result.more && !result.records.empty()) {
        this->readNewest();
        return;
    }
    this->scanned = true;
    this->atEnd = false;
    this->listener.scanEnded(this->stream);
    this->finish(StoreOutcome::Done);
}

void StreamScan::readOn(milliseconds wait)
{
    this->log.read(this->stream, this->nextOffset, wait, wait + callTimeout,
                   [this, current = this->living](const ReadResult &result) {
                       if (*current) {
                           this->readAnswered(result);
                       }
                   });
}

void StreamScan::readAnswered(const ReadResult &result)
{
    if (result.outcome == StoreOutcome::Trimmed) {
        this->restart();
        this->readNewest();
        return;
    }
    if (result.outcome == StoreOutcome::Done) {
        this->nextOffset = result.next;
        this->atEnd = result.next >= result.end;
        for (const KeyedRecord &record : result.records) {
            this->listener.recordRead(this->stream, record);
        }
    }
    this->finish(result.outcome);
}

void StreamScan::finish(StoreOutcome outcome)
{
    this->inFlight = false;
    const auto done = std::exchange(this->whenDone, nullptr);
    if (done) {
        done(outcome);
    }
}

} // namespace bulrush
