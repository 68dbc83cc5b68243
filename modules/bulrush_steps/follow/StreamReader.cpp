#include "bulrush_steps/follow/StreamReader.h"

#include <utility>

namespace bulrush {

namespace {

/** The time-out of a call, in addition to the time that the store is asked to wait. */
constexpr milliseconds callTimeout { 900 };

} // namespace

StreamReader::StreamReader(KeyedLog &keyedLog, LogStream logStream, Listener &recordListener)
    : log(keyedLog)
    , stream(logStream)
    , listener(recordListener)
{
}

StreamReader::~StreamReader()
{
    *this->alive = false;
}

void StreamReader::restart()
{
    ++this->readingNumber;
    this->newestRead = false;
    this->atEnd = false;
    this->firstPage = true;
    this->afterKey.clear();
}

void StreamReader::startAt(LogOffset offset)
{
    ++this->readingNumber;
    this->newestRead = true;
    this->atEnd = false;
    this->nextOffset = offset;
}

void StreamReader::advance(milliseconds wait, std::function<void(StoreOutcome)> done)
{
    this->inFlight = true;
    this->onDone = std::move(done);
    if (this->newestRead) {
        this->readNext(wait);
    } else {
        this->readNewest();
    }
}

void StreamReader::readNewest()
{
    this->log.newest(this->stream, this->afterKey, callTimeout,
                     [this, number = this->readingNumber,
                      isAlive = this->alive](const NewestResult &result) {
                         if (!*isAlive) {
                             return;
                         }
                         if (number == this->readingNumber) {
                             this->onNewest(result);
                         } else {
                             this->finishFormerReading(result.outcome);
                         }
                     });
}

void StreamReader::onNewest(const NewestResult &result)
{
    if (result.outcome != StoreOutcome::Done) {
        this->finish(result.outcome);
        return;
    }
    this->endOffset = result.end;
    if (this->firstPage) {
        // The pages are not a consistent snapshot. Reading on from the end as of the first page
        // covers all changes that are made while the pages are read.
        this->firstPage = false;
        this->nextOffset = result.end;
        this->listener.snapshotReadStarted(this->stream);
    }
    for (const KeyedRecord &record : result.records) {
        this->afterKey = record.key;
        this->listener.recordRead(this->stream, record);
    }
    if (result.more && !result.records.empty()) {
        this->readNewest();
        return;
    }
    this->newestRead = true;
    this->atEnd = false;
    this->listener.snapshotReadCompleted(this->stream);
    this->finish(StoreOutcome::Done);
}

void StreamReader::readNext(milliseconds wait)
{
    this->log.read(
            this->stream, this->nextOffset, wait, wait + callTimeout,
            [this, number = this->readingNumber, isAlive = this->alive](const ReadResult &result) {
                if (!*isAlive) {
                    return;
                }
                if (number == this->readingNumber) {
                    this->onRead(result);
                } else {
                    this->finishFormerReading(result.outcome);
                }
            });
}

void StreamReader::onRead(const ReadResult &result)
{
    if (result.outcome == StoreOutcome::Trimmed) {
        this->restart();
        this->readNewest();
        return;
    }
    if (result.outcome == StoreOutcome::Done) {
        this->nextOffset = result.next;
        this->endOffset = result.end;
        this->atEnd = result.next >= result.end;
        for (const KeyedRecord &record : result.records) {
            this->listener.recordRead(this->stream, record);
        }
    }
    this->finish(result.outcome);
}

void StreamReader::finishFormerReading(StoreOutcome outcome)
{
    // That an offset is trimmed says nothing of the position from which the next call reads.
    this->finish(outcome == StoreOutcome::Trimmed ? StoreOutcome::Done : outcome);
}

void StreamReader::finish(StoreOutcome outcome)
{
    this->inFlight = false;
    const auto done = std::exchange(this->onDone, nullptr);
    if (done) {
        done(outcome);
    }
}

} // namespace bulrush
