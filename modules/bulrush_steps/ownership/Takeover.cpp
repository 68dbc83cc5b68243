#include "bulrush_steps/ownership/Takeover.h"

#include "bulrush_steps/dispatch/ProgressWriter.h"

#include <utility>

namespace bulrush {

namespace {

constexpr milliseconds callTimeout { 800 };
constexpr milliseconds retryDelay { 100 };

} // namespace

Takeover::Takeover(const Clock &systemClock, KeyedLog &keyedLog, RecordsView &recordsView)
    : clock(systemClock)
    , log(keyedLog)
    , view(recordsView)
{
}

void Takeover::begin(std::uint64_t fencingToken, std::string memberName,
                     std::function<void(LogOffset)> done, std::function<void()> superseded)
{
    this->cancel();
    this->token = fencingToken;
    this->member = std::move(memberName);
    this->whenDone = std::move(done);
    this->whenSuperseded = std::move(superseded);
    this->fenceDone = false;
    this->ownerRecordDone = false;
    this->advance(Step::Announce);
}

void Takeover::cancel()
{
    *this->alive = false;
    this->alive = std::make_shared<bool>(true);
    this->step = Step::Idle;
    this->inFlight = false;
}

void Takeover::advance(Step next)
{
    this->step = next;
    this->inFlight = false;
    this->retryAt = Instant();
    this->tick();
}

void Takeover::retryLater()
{
    this->inFlight = false;
    this->retryAt = this->clock.now() + retryDelay;
}

void Takeover::tick()
{
    if (this->inFlight || this->clock.now() < this->retryAt) {
        return;
    }
    switch (this->step) {
    case Step::Idle:
        return;
    case Step::Announce:
        this->announce();
        return;
    case Step::Read:
        this->readRecords();
        return;
    }
}

void Takeover::announce()
{
    this->inFlight = true;
    this->pendingCalls = 0;
    if (!this->fenceDone) {
        ++this->pendingCalls;
        this->fencePreviousOwner();
    }
    if (!this->ownerRecordDone) {
        ++this->pendingCalls;
        this->appendOwnerRecords();
    }
}

void Takeover::handleAnnounceAnswer()
{
    --this->pendingCalls;
    if (this->pendingCalls > 0) {
        return;
    }
    if (this->fenceDone && this->ownerRecordDone) {
        this->advance(Step::Read);
    } else {
        this->retryLater();
    }
}

void Takeover::fencePreviousOwner()
{
    this->log.append(LogStream::Progress, {}, ProgressWriter::epochMark(this->token), callTimeout,
                     [this, isAlive = this->alive](const AppendAnswer &result) {
                         if (!*isAlive) {
                             return;
                         }
                         if (result.outcome == StoreOutcome::Fenced) {
                             this->whenSuperseded();
                             return;
                         }
                         this->fenceDone = result.outcome == StoreOutcome::Done
                                 || result.outcome == StoreOutcome::OutOfOrder;
                         this->handleAnnounceAnswer();
                     });
}

void Takeover::appendOwnerRecords()
{
    const std::string value = records::encode(OwnerRecord { this->token, this->member, true });
    const std::vector<KeyedRecord> ownerRecords { { records::ownerKey(this->token), value, 0 },
                                                  { records::newestOwnerKey(), value, 0 } };
    this->log.append(LogStream::Jobs, ownerRecords, std::nullopt, callTimeout,
                     [this, isAlive = this->alive](const AppendAnswer &result) {
                         if (!*isAlive) {
                             return;
                         }
                         this->ownerRecordDone = result.outcome == StoreOutcome::Done;
                         this->ownerRecordOffset = result.offset;
                         this->handleAnnounceAnswer();
                     });
}

void Takeover::readRecords()
{
    this->inFlight = true;
    this->view.refresh([this, isAlive = this->alive](bool succeeded) {
        if (!*isAlive) {
            return;
        }
        if (!succeeded) {
            this->retryLater();
            return;
        }
        this->step = Step::Idle;
        this->inFlight = false;
        this->whenDone(this->ownerRecordOffset);
    });
}

} // namespace bulrush
