#include "bulrush_platform/log/LogReader.h"

namespace bulrush {

namespace {

constexpr Duration pauseAfterFailure = milliseconds(200);

} // namespace

LogReader::LogReader(EventLoop &owningLoop, Log &readLog, std::string_view streamName,
                     Duration pollWait, Listener &pageListener)
    : loop(owningLoop)
    , log(readLog)
    , stream(streamName)
    , poll(pollWait)
    , listener(pageListener)
{
}

void LogReader::start()
{
    this->readMore();
}

void LogReader::readMore()
{
    this->log.read(this->stream, this->listener.readOffset(), this->poll,
                   [this](const std::optional<LogPage> &page) {
                       this->changeAvailability(page.has_value());
                       if (page) {
                           this->listener.pageRead(*page);
                       }
                       const Duration pause = page ? Duration::zero() : pauseAfterFailure;
                       this->loop.schedule(pause, [this] { this->readMore(); });
                   });
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
