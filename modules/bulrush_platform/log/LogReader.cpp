#include "bulrush_platform/log/LogReader.h"

namespace bulrush {

namespace {

constexpr Duration pauseAfterFailure = milliseconds(200);

} // namespace

LogReader::LogReader(EventLoop &owningLoop, const Clock &runtimeClock, Log &readLog,
                     std::string_view streamName, Duration pollWait, Listener &pageListener)
    : loop(owningLoop)
    , clock(runtimeClock)
    , log(readLog)
    , stream(streamName)
    , poll(pollWait)
    , listener(pageListener)
{
}

void LogReader::start()
{
    if (!this->running) {
        this->running = true;
        this->readMore();
    }
}

void LogReader::stop()
{
    this->running = false;
    ++this->run;
}

void LogReader::readMore()
{
    const auto isCurrent = [this, living = this->alive, sentIn = this->run] {
        return *living && this->run == sentIn;
    };
    const Instant sentAt = this->clock.now();
    const auto handle = [this, isCurrent, sentAt](const std::optional<LogPage> &page) {
        if (!isCurrent()) {
            return;
        }
        this->changeAvailability(page.has_value());
        if (page) {
            this->listener.pageRead(*page, sentAt);
        }
        const Duration pause = page ? Duration::zero() : pauseAfterFailure;
        this->loop.schedule(pause, [this, isCurrent] {
            if (isCurrent()) {
                this->readMore();
            }
        });
    };
    this->log.read(this->stream, this->listener.readOffset(), this->poll, handle);
}

void LogReader::changeAvailability(bool available)
{
    if (this->reported && available == this->isAvailable) {
        return;
    }
    this->reported = true;
    this->isAvailable = available;
    this->listener.availabilityChanged(available);
}

} // namespace bulrush
