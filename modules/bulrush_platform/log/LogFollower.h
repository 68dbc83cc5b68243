#pragma once

#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_platform/log/Log.h"

#include <algorithm>
#include <string>

namespace bulrush {

/** Reads one stream in the order of its offsets, through outages, and tells of truncation. */
class LogFollower
{
public:
    /** Receives the stream. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called for each record once, in order. */
        virtual void recordRead(std::string_view stream, const LogRecord &record) = 0;

        /** Called when everything up to the log's end was read. @param next the end's offset */
        virtual void caughtUp(std::string_view stream, Offset next) = 0;

        /** Called when the records before an offset are gone; reading goes on at that offset
            unless the listener calls seek(). */
        virtual void truncated(std::string_view stream, Offset first) = 0;

        /** Called when reads begin to fail (false) or to succeed again (true). */
        virtual void availabilityChanged(std::string_view stream, bool available) = 0;
    };

    /** @param poll how long one read waits for a record, and the pause after a failed one */
    LogFollower(EventLoop &loop, Log &log, std::string_view stream, Duration poll,
                Listener &listener);

    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /** Starts to read. */
    void start();

    /** Goes on at a later offset; an earlier one is ignored, so that nothing is read twice. */
    void seek(Offset offset);

    /** Returns the offset of the next record. */
    Offset next() const { return this->nextOffset; }

    /** Returns whether the last read succeeded. */
    bool available() const { return this->isAvailable; }

private:
    void readMore();
    void handlePage(const LogPage &page);
    void changeAvailability(bool available);

    EventLoop &loop;
    Log &log;
    const std::string stream;
    const Duration poll;
    Listener &listener;
    Offset nextOffset = 0;
    bool isAvailable = false;
    bool reported = false;
};

} // namespace bulrush
