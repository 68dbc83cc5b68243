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
    this->advance(Step::ShutOut);
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
    case Step::ShutOut:
        this->shutOut();
        return;
    case Step::Mark:
        this->putMark();
        return;
    case Step::Read:
        this->readRecords();
        return;
    }
}

void Takeover::shutOut()
{
    this->inFlight = true;
    this->log.append(LogStream::Progress, {}, ProgressWriter::epochMark(this->token), callTimeout,
                     [this, current = this->living](const AppendAnswer &result) {
                         if (!*current) {
                             return;
                         }
                         if (result.outcome == StoreOutcome::Fenced) {
                             this->whenSuperseded();
                             return;
                         }
                         if (result.outcome != StoreOutcome::Done
                             && result.outcome != StoreOutcome::OutOfOrder) {
                             this->retryLater();
                             return;
                         }
                         this->advance(Step::Mark);
                     });
}

void Takeover::putMark()
{
    this->inFlight = true;
    const KeyedRecord mark { records::ownerKey(), records::encodeOwner(this->token, this->member),
                             0 };
    this->log.append(LogStream::Jobs, { mark }, std::nullopt, callTimeout,
                     [this, current = this->living](const AppendAnswer &result) {
                         if (!*current) {
                             return;
                         }
                         if (result.outcome != StoreOutcome::Done) {
                             this->retryLater();
                             return;
                         }
                         this->markOffset = result.offset;
                         this->advance(Step::Read);
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
