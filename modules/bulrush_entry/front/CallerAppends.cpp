#include "bulrush_entry/front/CallerAppends.h"

#include "bulrush_core/events/DecisionLog.h"

#include <utility>

namespace bulrush {

namespace {

constexpr milliseconds appendTimeout { 700 };
constexpr milliseconds retryDelay { 60 };

constexpr std::string_view rejectedReason = "the store rejects the record of the job";

} // namespace

CallerAppends::CallerAppends(const Clock &systemClock, KeyedLog &keyedLog, StoreHealth &storeHealth,
                             DecisionLog &decisionLog, JobAdmission &jobAdmission)
    : clock(systemClock)
    , log(keyedLog)
    , health(storeHealth)
    , decisions(decisionLog)
    , admission(jobAdmission)
{
}

void CallerAppends::add(CallerAppend append)
{
    const auto pending = std::make_shared<Pending>();
    pending->append = std::move(append);
    this->pendingAppends.push_back(pending);
    this->send(pending);
}

void CallerAppends::send(const PendingPointer &pending)
{
    pending->inFlight = true;
    this->log.append(LogStream::Jobs, { pending->append.record }, std::nullopt, appendTimeout,
                     [this, pending](const AppendAnswer &result) {
                         pending->inFlight = false;
                         if (!pending->isAnswered) {
                             this->handleAnswer(pending, result);
                         }
                     });
}

void CallerAppends::handleAnswer(const PendingPointer &pending, const AppendAnswer &result)
{
    if (result.outcome == StoreOutcome::Done) {
        this->recorded(pending, result.offset);
        return;
    }
    if (result.outcome == StoreOutcome::Invalid && !pending->mayHaveTakenEffect) {
        this->decisions.write(DecisionLine(Event::JobRefused)
                                      .with("job", pending->append.job.name())
                                      .with("queue", pending->append.queue)
                                      .with("reason", rejectedReason));
        CallerAnswer malformed;
        malformed.outcome = CallerOutcome::Malformed;
        malformed.reason = rejectedReason;
        this->answer(pending, malformed);
        return;
    }
    if (result.outcome != StoreOutcome::Refused) {
        pending->mayHaveTakenEffect = true;
    }
    pending->retryAt = this->clock.now() + retryDelay;
    if (this->health.checkLost()) {
        this->abandon(pending, "the store does not answer", storeRetryAfter);
    }
}

void CallerAppends::recorded(const PendingPointer &pending, LogOffset offset)
{
    const CallerAppend &append = pending->append;
    const bool accepted = append.success == CallerOutcome::Accepted;
    DecisionLine line(accepted ? Event::JobAccepted : Event::JobCancelled);
    line.with("job", append.job.name()).with("offset", offset);
    if (accepted) {
        line.with("queue", append.queue)
                .with("tasks", append.tasks)
                .with("core_ms", append.coreMillis);
        this->admission.recorded(append.memory);
    } else {
        line.with("before_record", append.success == CallerOutcome::NoSuchJob);
    }
    this->decisions.write(line);
    CallerAnswer success;
    success.outcome = append.success;
    this->answer(pending, success);
}

void CallerAppends::abandon(const PendingPointer &pending, std::string_view reason,
                            milliseconds retryAfter)
{
    const bool refused = !pending->mayHaveTakenEffect && !pending->inFlight
            && pending->append.success == CallerOutcome::Accepted;
    CallerAnswer answer;
    answer.outcome = refused ? CallerOutcome::Refused : CallerOutcome::Unknown;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    this->decisions.write(DecisionLine(refused ? Event::JobRefused : Event::JobOutcomeUnknown)
                                  .with("job", pending->append.job.name())
                                  .with("reason", reason));
    this->answer(pending, answer);
}

void CallerAppends::answer(const PendingPointer &pending, const CallerAnswer &answer)
{
    pending->isAnswered = true;
    this->pendingAppends.remove(pending);
    const auto callback = std::exchange(pending->append.callback, nullptr);
    callback(answer);
}

void CallerAppends::tick()
{
    const Instant now = this->clock.now();
    const std::list<PendingPointer> current = this->pendingAppends;
    for (const PendingPointer &pending : current) {
        if (pending->isAnswered) {
            continue;
        }
        if (now >= pending->append.deadline) {
            this->abandon(pending, "the store has not answered in time", storeRetryAfter);
        } else if (!pending->inFlight && now >= pending->retryAt) {
            this->send(pending);
        }
    }
}

void CallerAppends::abandonAll(std::string_view reason, milliseconds retryAfter)
{
    const std::list<PendingPointer> current = this->pendingAppends;
    for (const PendingPointer &pending : current) {
        if (!pending->isAnswered) {
            this->abandon(pending, reason, retryAfter);
        }
    }
}

} // namespace bulrush
