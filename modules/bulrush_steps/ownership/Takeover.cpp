#include "bulrush_steps/ownership/Takeover.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/dispatch/ProgressWriter.h"

#include <utility>

namespace bulrush {

namespace {

constexpr milliseconds callTimeout { 800 };
constexpr milliseconds retryDelay { 100 };

/** Interval at which a takeover that is not complete logs how far it has come. */
constexpr milliseconds reportInterval { 1000 };

/** The steps as they are named in the log. */
constexpr std::string_view fenceStep = "fence";
constexpr std::string_view ownerRecordStep = "owner record";
constexpr std::string_view readStep = "read";

std::string_view outcomeOf(bool succeeded)
{
    return succeeded ? "done" : "failed";
}

} // namespace

Takeover::Takeover(const Clock &systemClock, KeyedLog &keyedLog, RecordsView &recordsView,
                   DecisionLog &decisionLog)
    : clock(systemClock)
    , log(keyedLog)
    , view(recordsView)
    , decisions(decisionLog)
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
    this->beganAt = this->clock.now();
    this->nextReportAt = this->beganAt + reportInterval;
    this->advance(Step::Announce);
}

void Takeover::cancel()
{
    if (this->running()) {
        this->report(this->step == Step::Read ? readStep : fenceStep, "abandoned");
    }
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
    this->retryIfDue();
}

void Takeover::retryLater()
{
    this->inFlight = false;
    this->retryAt = this->clock.now() + retryDelay;
}

void Takeover::tick()
{
    this->reportIfDue();
    this->retryIfDue();
}

void Takeover::reportIfDue()
{
    const Instant now = this->clock.now();
    if (this->running() && now >= this->nextReportAt) {
        this->nextReportAt = now + reportInterval;
        this->report(this->step == Step::Read ? readStep : fenceStep, "under way");
    }
}

void Takeover::report(std::string_view reportedStep, std::string_view outcome) const
{
    const auto elapsed = duration_cast<milliseconds>(this->clock.now() - this->beganAt).count();
    const ReadPositions positions = this->view.positions();
    this->decisions.write(DecisionLine(Event::TakeoverStep)
                                  .with("fencing_token", this->token)
                                  .with("step", reportedStep)
                                  .with("outcome", outcome)
                                  .with("elapsed_ms", elapsed)
                                  .with("jobs_offset", positions.jobs)
                                  .with("progress_offset", positions.progress)
                                  .with("unread", positions.unread));
}

void Takeover::retryIfDue()
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
                         this->report(fenceStep, outcomeOf(this->fenceDone));
                         this->handleAnnounceAnswer();
                     });
}

void Takeover::appendOwnerRecords()
{
    const std::string value =
            records::encode(OwnerRecord { this->token, this->member, true, true });
    const std::vector<KeyedRecord> ownerRecords { { records::ownerKey(this->token), value, 0 },
                                                  { records::newestOwnerKey(), value, 0 } };
    this->log.append(LogStream::Jobs, ownerRecords, std::nullopt, callTimeout,
                     [this, isAlive = this->alive](const AppendAnswer &result) {
                         if (!*isAlive) {
                             return;
                         }
                         this->ownerRecordDone = result.outcome == StoreOutcome::Done;
                         this->ownerRecordOffset = result.offset;
                         this->report(ownerRecordStep, outcomeOf(this->ownerRecordDone));
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
        this->report(readStep, outcomeOf(succeeded));
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
