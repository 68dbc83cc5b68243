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
    this->shutOutDone = false;
    this->markDone = false;
    this->advance(Step::Announce);
}

void Takeover::cancel()
{
    *this->living = false;
    this->living = std::make_shared<bool>(true);
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
    this->openCalls = 0;
    if (!this->shutOutDone) {
        ++this->openCalls;
        this->shutOut();
    }
    if (!this->markDone) {
        ++this->openCalls;
        this->putMark();
    }
}

void Takeover::announced()
{
    --this->openCalls;
    if (this->openCalls > 0) {
        return;
    }
    if (this->shutOutDone && this->markDone) {
        this->advance(Step::Read);
    } else {
        this->retryLater();
    }
}

void Takeover::shutOut()
{
    this->log.append(LogStream::Progress, {}, ProgressWriter::epochMark(this->token), callTimeout,
                     [this, current = this->living](const AppendAnswer &result) {
                         if (!*current) {
                             return;
                         }
                         if (result.outcome == StoreOutcome::Fenced) {
                             this->whenSuperseded();
                             return;
                         }
                         this->shutOutDone = result.outcome == StoreOutcome::Done
                                 || result.outcome == StoreOutcome::OutOfOrder;
                         this->announced();
                     });
}

void Takeover::putMark()
{
    const KeyedRecord mark { records::ownerKey(), records::encodeOwner(this->token, this->member),
                             0 };
    this->log.append(LogStream::Jobs, { mark }, std::nullopt, callTimeout,
                     [this, current = this->living](const AppendAnswer &result) {
                         if (!*current) {
                             return;
                         }
                         this->markDone = result.outcome == StoreOutcome::Done;
                         this->markOffset = result.offset;
                         this->announced();
                     });
}

void Takeover::readRecords()
{
    this->inFlight = true;
    this->view.refresh([this, current = this->living](bool succeeded) {
        if (!*current) {
            return;
        }
        if (!succeeded) {
            this->retryLater();
            return;
        }
        this->step = Step::Idle;
        this->inFlight = false;
        this->whenDone(this->markOffset);
    });
}

} // namespace bulrush
