#include "bulrush_platform/log/LogFollower.h"

namespace bulrush {

namespace {

constexpr Duration pauseAfterFailure = milliseconds(200);

} // namespace

LogFollower::LogFollower(EventLoop &owningLoop, Log &followedLog, std::string_view streamName,
                         Duration pollWait, Listener &recordListener)
    : loop(owningLoop)
    , log(followedLog)
    , stream(streamName)
    , poll(pollWait)
    , listener(recordListener)
{
}

void LogFollower::start()
{
    this->readMore();
}

void LogFollower::seek(Offset offset)
{
    this->nextOffset = std::max(this->nextOffset, offset);
}

void LogFollower::readMore()
{
    this->log.read(this->stream, this->nextOffset, this->poll,
                   [this](const std::optional<LogPage> &page) {
                       this->changeAvailability(page.has_value());
                       if (page) {
                           this->handlePage(*page);
                       }
                       const Duration pause = page ? Duration::zero() : pauseAfterFailure;
                       this->loop.schedule(pause, [this] { this->readMore(); });
                   });
}

void LogFollower::handlePage(const LogPage &page)
{
    if (page.first > this->nextOffset) {
        this->listener.truncated(this->stream, page.first);
        this->nextOffset = std::max(this->nextOffset, page.first);
        return;
    }
    for (const LogRecord &record : page.records) {
        if (record.offset < this->nextOffset) {
            continue;
        }
        this->nextOffset = record.offset + 1;
        this->listener.recordRead(this->stream, record);
    }
    if (this->nextOffset >= page.next) {
        this->listener.caughtUp(this->stream, this->nextOffset);
    }
}

void LogFollower::changeAvailability(bool available)
{
    if (this->reported && available == this->isAvailable) {
        return;
    }
    this->reported = true;
    this->isAvailable = available;
    this->listener.availabilityChanged(this->stream, available);
}

} // namespace bulrush
