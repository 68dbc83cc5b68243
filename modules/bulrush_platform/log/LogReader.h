#pragma once

#include "bulrush_net/loop/EventLoop.h"
#include "bulrush_platform/log/Log.h"

#include <cstdint>
#include <memory>
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

        /** Called with each page, also with an empty one. @param sentAt when the read was sent */
        virtual void pageRead(const LogPage &page, Instant sentAt) = 0;

        /** Called when reads begin to fail (false) or to succeed again (true). */
        virtual void availabilityChanged(bool available) = 0;
    };

    /** @param poll how long one read waits for an entry */
    LogReader(EventLoop &loop, const Clock &clock, Log &log, std::string_view stream, Duration poll,
              Listener &listener);

    ~LogReader() { *this->alive = false; }

    LogReader(const LogReader &) = delete;
    LogReader &operator=(const LogReader &) = delete;

    /** Starts to read, or goes on after stop(). */
    void start();

    /** Reads no more; a read under way is not handed over. */
    void stop();

    /** Returns whether the last read succeeded. */
    bool available() const { return this->isAvailable; }

private:
    void readMore();
    void changeAvailability(bool available);

    EventLoop &loop;
    const Clock &clock;
    Log &log;
    const std::string stream;
    const Duration poll;
    Listener &listener;
    bool isAvailable = false;
    bool reported = false;
    bool running = false;
    /** Distinguishes reads sent before a stop() from later ones. */
    std::uint64_t run = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
