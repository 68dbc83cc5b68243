#include "bulrush_platform/log/LogReader.h"

namespace bulrush {

namespace {

constexpr Duration retryDelay = milliseconds(200);

} // namespace

LogReader::LogReader(EventLoop &owningLoop, const Clock &runtimeClock, Log &readLog,
                     std::string_view streamName, Duration pollWait, Listener &pageListener)
    : loop(owningLoop)
    , clock(runtimeClock)
    , log(readLog)
    , stream(streamName)
    , pollTimeout(pollWait)
    , listener(pageListener)
{
}

void LogReader::start()
{
    if (!this->running) {
        this->running = true;
        this->readNextPage();
    }
}

void LogReader::stop()
{
    this->running = false;
    ++this->generation;
}

void LogReader::readNextPage()
{
    const auto isCurrent = [this, aliveFlag = this->alive, generationAtSend = this->generation] {
        return *aliveFlag && this->generation == generationAtSend;
    };
    const Instant sentAt = this->clock.now();
    const auto handle = [this, isCurrent, sentAt](const std::optional<LogPage> &page) {
        if (!isCurrent()) {
            return;
        }
        this->updateAvailability(page.has_value());
        if (page) {
            this->listener.pageRead(*page, sentAt);
        }
        const Duration delay = page ? Duration::zero() : retryDelay;
        this->loop.schedule(delay, [this, isCurrent] {
            if (isCurrent()) {
                this->readNextPage();
            }
        });
    };
    this->log.read(this->stream, this->listener.readOffset(), this->pollTimeout, handle);
}

void LogReader::updateAvailability(bool available)
{
    if (this->availabilityReported && available == this->isAvailable) {
        return;
    }
    this->availabilityReported = true;
    this->isAvailable = available;
    this->listener.availabilityChanged(available);
}

} // namespace bulrush
