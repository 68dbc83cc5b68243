#pragma once

#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bulrush {

/**
    Reads one stream without gaps.

    Reads the newest record of each key first, then the records that were appended since. Starts
    again with the newest records when the store has trimmed the next offset.
*/
class StreamReader
{
public:
    /** Receives records in the order of the stream. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called before the newest records are delivered. A key that is not among them no longer
            exists. */
        virtual void snapshotReadStarted(LogStream stream) = 0;

        virtual void recordRead(LogStream stream, const KeyedRecord &record) = 0;

        /** Called after all newest records have been delivered. */
        virtual void snapshotReadCompleted(LogStream stream) = 0;
    };

    StreamReader(KeyedLog &log, LogStream stream, Listener &listener);
    ~StreamReader();

    StreamReader(const StreamReader &) = delete;
    StreamReader &operator=(const StreamReader &) = delete;

    /** Reads the next records. Only one call may be in flight.
        @param wait how long the store waits when there are no new records
        @param done called once with the outcome; after Done, more records may follow */
    void advance(milliseconds wait, std::function<void(StoreOutcome)> done);

    /** Returns whether everything has been read up to the end of the stream as of the last call. */
    bool caughtUp() const { return this->newestRead && this->atEnd; }

    /** Returns the offset of the next record to read. */
    LogOffset next() const { return this->nextOffset; }

    /** Returns the number of records that the stream held after next() as of the last answer. */
    std::uint64_t unread() const
    {
        return this->endOffset > this->nextOffset ? this->endOffset - this->nextOffset : 0;
    }

    bool busy() const { return this->inFlight; }

    /** Discards the position; the next call starts again with the newest records. A call that is in
        flight ends with its next answer, whose records are ignored. */
    void restart();

    /** Continues at an offset, for a caller that already knows all earlier records. A call that is
        in flight ends as with restart(). */
    void startAt(LogOffset offset);

private:
    void readNewest();
    void onNewest(const NewestResult &result);
    void readNext(milliseconds wait);
    void onRead(const ReadResult &result);

    /** Ends a call that was in flight when the position was changed. */
    void finishFormerReading(StoreOutcome outcome);
    void finish(StoreOutcome outcome);

    KeyedLog &log;
    const LogStream stream;
    Listener &listener;
    /** Changes with each restart() and startAt(), to tell late answers from those awaited. */
    std::uint64_t readingNumber = 0;
    bool newestRead = false;
    bool atEnd = false;
    bool inFlight = false;
    std::string afterKey;
    bool firstPage = true;
    LogOffset nextOffset = 0;
    /** The end of the stream as of the last answer. */
    LogOffset endOffset = 0;
    std::function<void(StoreOutcome)> onDone;
    /** Set to false on destruction, so that callbacks of pending calls are ignored. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
