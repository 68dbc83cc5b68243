#pragma once

#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_platform/log/Log.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bulrush {

/** Reads one stream page by page and retries failed reads. The listener supplies each offset. */
class LogReader
{
public:
    /** Receives the pages of the stream and changes of its availability. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the offset to read from. */
        virtual LogOffset readOffset() const = 0;

        /** Called with each page, including empty ones. @param sentAt when the read was sent */
        virtual void pageRead(const LogPage &page, Instant sentAt) = 0;

        /** Called with the first read's outcome, then when reads start to fail (false) or succeed
            again (true). */
        virtual void availabilityChanged(bool available) = 0;
    };

    /** @param pollTimeout how long one read waits for a record */
    LogReader(EventLoop &loop, const Clock &clock, Log &log, std::string_view stream,
              Duration pollTimeout, Listener &listener);

    ~LogReader() { *this->alive = false; }

    LogReader(const LogReader &) = delete;
    LogReader &operator=(const LogReader &) = delete;

    /** Starts reading, or resumes after stop(). */
    void start();

    /** Stops reading; the result of a pending read is discarded. */
    void stop();

    /** Returns whether the last read succeeded. */
    bool available() const { return this->isAvailable; }

private:
    void readNextPage();
    void updateAvailability(bool available);

    EventLoop &loop;
    const Clock &clock;
    Log &log;
    const std::string stream;
    const Duration pollTimeout;
    Listener &listener;
    bool isAvailable = false;
    bool availabilityReported = false;
    bool running = false;
    /** Distinguishes reads sent before a stop() from later ones. */
    std::uint64_t generation = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
