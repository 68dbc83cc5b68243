#pragma once

#include "bulrush_steps/ports/KeyedLog.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrush {

/**
    Reads one stream so that nothing is missed: first the newest record of each key, then what was
    appended since, and the newest records again where the store no longer keeps what is next.
*/
class StreamScan
{
public:
    /** Receives records in the order of the stream. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called before all newest records are handed over: what is not among them is gone. */
        virtual void scanBegins(LogStream stream) = 0;

        virtual void recordRead(LogStream stream, const KeyedRecord &record) = 0;

        /** Called when all newest records were handed over. */
        virtual void scanEnded(LogStream stream) = 0;
    };

    StreamScan(KeyedLog &log, LogStream stream, Listener &listener);
    ~StreamScan();

    StreamScan(const StreamScan &) = delete;
    StreamScan &operator=(const StreamScan &) = delete;

    /** Reads on; one call at a time.
        @param wait how long the store waits where there is nothing new
        @param done called once with how the call ended; Done means that something may follow */
    void advance(milliseconds wait, std::function<void(StoreOutcome)> done);

    /** Returns whether all that was on the stream at the end of the last call has been read. */
    bool caughtUp() const { return this->scanned && this->atEnd; }

    /** Returns the offset that is read next. */
    LogOffset next() const { return this->nextOffset; }

    bool busy() const { return this->inFlight; }

    /** Forgets the position: the next call begins with the newest records. */
    void restart();

    /** Reads from an offset on; all before it is known already. */
    void startAt(LogOffset offset);

private:
    void readNewest();
    void newestAnswered(const NewestResult &result);
    void readOn(milliseconds wait);
    void readAnswered(const ReadResult &result);
    void finish(StoreOutcome outcome);

    KeyedLog &log;
    const LogStream stream;
    Listener &listener;
    bool scanned = false;
    bool atEnd = false;
    bool inFlight = false;
    std::string afterKey;
    bool firstPage = true;
    LogOffset nextOffset = 0;
    std::function<void(StoreOutcome)> whenDone;
    std::shared_ptr<bool> living = std::make_shared<bool>(true);
};

} // namespace bulrush
