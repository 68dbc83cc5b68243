#pragma once

#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_platform/log/Log.h"

#include <string>

namespace bulrush {

/** Reads one stream page by page, through outages. Its listener says where to read on. */
class LogReader
{
public:
    /** Receives the stream. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the offset to read from. */
        virtual LogOffset readOffset() const = 0;

        /** Called with each page, also with an empty one. */
        virtual void pageRead(const LogPage &page) = 0;

        /** Called when reads begin to fail (false) or to succeed again (true). */
        virtual void availabilityChanged(bool available) = 0;
    };

    /** @param poll how long one read waits for an entry */
    LogReader(EventLoop &loop, Log &log, std::string_view stream, Duration poll,
              Listener &listener);

    LogReader(const LogReader &) = delete;
    LogReader &operator=(const LogReader &) = delete;

    /** Starts to read; reads go on until the loop ends. */
    void start();

    /** Returns whether the last read succeeded. */
    bool available() const { return this->isAvailable; }

private:
    void readMore();
    void changeAvailability(bool available);

    EventLoop &loop;
    Log &log;
    const std::string stream;
    const Duration poll;
    Listener &listener;
    bool isAvailable = false;
    bool reported = false;
};

} // namespace bulrush
