#include "bulrush_entry/front/SubmissionDesk.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr milliseconds appendTimeout { 700 };
constexpr milliseconds retryDelay { 60 };

/** Left of a caller's time limit for the way back of an answer. */
constexpr milliseconds answerMargin { 250 };

/** A caller that names no time limit is taken to wait for so long. */
constexpr milliseconds defaultTimeLimit { 3000 };

/** Callers come again after this long while the store is away. */
constexpr milliseconds storeRetryAfter { 2000 };

constexpr std::size_t jobIdDigits = 16;

bool isJobId(std::string_view text)
{
    const auto isHex = [](char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f')
                || (each >= 'A' && each <= 'F');
    };
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), isHex);
}

} // namespace

SubmissionDesk::SubmissionDesk(const Clock &systemClock, KeyedLog &keyedLog,
                               const RecordDecoder &recordDecoder, OwnerQuestions &ownerQuestions,
                               RecordsView &recordsView, StoreHealth &storeHealth,
                               DecisionLog &decisionLog)
    : clock(systemClock)
    , log(keyedLog)
    , decoder(recordDecoder)
    , owner(ownerQuestions)
    , view(recordsView)
    , health(storeHealth)
    , decisions(decisionLog)
{
}

CallerAnswer SubmissionDesk::refusal(std::string reason) const
{
    CallerAnswer answer;
    answer.outcome = CallerOutcome::Refused;
    answer.reason = std::move(reason);
    answer.retryAfter = storeRetryAfter;
    return answer;
}

Instant SubmissionDesk::giveUpTime(const CallerRequest &request, const QueuePolicy &queue) const
{
    milliseconds limit = request.timeLimit.value_or(defaultTimeLimit);
    if (queue.timeout.count() > 0) {
        limit = std::min(limit, queue.timeout);
    }
    return this->clock.now() + std::max(milliseconds(0), limit - answerMargin);
}

void SubmissionDesk::serve(const CallerRequest &request, const Callback &callback)
{
    if (!this->config) {
        callback(this->refusal("no configuration yet"));
        return;
    }
    const QueuePolicy *queue = this->config->queueFor(request.host, request.path);
    if (queue == nullptr) {
        callback({ CallerOutcome::NoSuchQueue, {}, 0, "no such queue", {} });
        return;
    }
    const std::string rest = request.path.substr(queue->prefix.size());
    if (request.wish == CallerWish::Query && rest.empty()) {
        this->count(queue->name, callback);
        return;
    }
    if (!isJobId(rest) || request.wish == CallerWish::Unsupported) {
        callback({ CallerOutcome::Malformed,
                   {},
                   0,
                   "the path must end with 16 hexadecimal digits",
                   {} });
        return;
    }
    const JobId job(rest);
    if (request.wish == CallerWish::Submit) {
        this->submit(request, *queue, job, callback);
    } else if (request.wish == CallerWish::Cancel) {
        this->cancel(request, *queue, job, callback);
    } else {
        this->query(job, callback);
    }
}

void SubmissionDesk::submit(const CallerRequest &request, const QueuePolicy &queue, const JobId &id,
                            const Callback &callback)
{
    if (this->health.lost()) {
        const Duration silence = this->clock.now() - this->health.lastReached();
        this->decisions.write(
                DecisionLine(Event::JobRefused)
                        .with("job", id.name())
                        .with("queue", queue.name)
                        .with("reason", "the store does not answer")
                        .with("silent_ms", duration_cast<milliseconds>(silence).count()));
        callback(this->refusal("the store does not answer; the job is not on record"));
        return;
    }
    StepJob job;
    try {
        job = this->decoder.submission(request.body);
    } catch (const Error &error) {
        this->decisions.write(DecisionLine(Event::JobRefused)
                                      .with("job", id.name())
                                      .with("queue", queue.name)
                                      .with("reason", error.what()));
        callback({ CallerOutcome::Malformed, {}, 0, error.what(), {} });
        return;
    }
    job.id = id;
    job.queue = queue.name;
    job.service = queue.service;
    job.acceptedAt = this->clock.calendarMillis();
    job.priority = queue.priority;
    job.maxAttempts = queue.maxAttempts;
    job.slackFactor = queue.slackFactor;
    job.latencyTarget = queue.latencyTarget;
    Pending pending;
    pending.job = id;
    pending.record = { records::jobKey(id), records::encode(job), 0 };
    pending.success = CallerOutcome::Accepted;
    pending.giveUpAt = this->giveUpTime(request, queue);
    pending.callback = callback;
    this->append(std::move(pending));
}

void SubmissionDesk::append(Pending pending)
{
    const auto shared = std::make_shared<Pending>(std::move(pending));
    this->open.push_back(shared);
    this->send(shared);
}

void SubmissionDesk::send(const std::shared_ptr<Pending> &pending)
{
    pending->inFlight = true;
    this->log.append(LogStream::Jobs, { pending->record }, std::nullopt, appendTimeout,
                     [this, pending](const AppendAnswer &result) {
                         pending->inFlight = false;
                         if (pending->callback) {
                             this->appended(pending, result);
                         }
                     });
}

void SubmissionDesk::appended(const std::shared_ptr<Pending> &pending, const AppendAnswer &result)
{
    if (result.outcome == StoreOutcome::Done) {
        const bool accepted = pending->success == CallerOutcome::Accepted;
        this->decisions.write(DecisionLine(accepted ? Event::JobAccepted : Event::JobCancelled)
                                      .with("job", pending->job.name())
                                      .with("offset", result.offset));
        CallerAnswer answer;
        answer.outcome = pending->success;
        const Callback callback = std::exchange(pending->callback, nullptr);
        this->open.remove(pending);
        callback(answer);
        return;
    }
    if (result.outcome != StoreOutcome::Refused) {
        pending->mayBeOnRecord = true;
    }
    pending->retryAt = this->clock.now() + retryDelay;
    if (this->health.lost()) {
        this->giveUp(pending, "the store does not answer");
    }
}

void SubmissionDesk::giveUp(const std::shared_ptr<Pending> &pending, std::string_view reason)
{
    CallerAnswer answer;
    const bool refused = !pending->mayBeOnRecord && !pending->inFlight
            && pending->success == CallerOutcome::Accepted;
    answer.outcome = refused ? CallerOutcome::Refused : CallerOutcome::Unknown;
    answer.reason = reason;
    answer.retryAfter = storeRetryAfter;
    this->decisions.write(DecisionLine(refused ? Event::JobRefused : Event::JobOutcomeUnknown)
                                  .with("job", pending->job.name())
                                  .with("reason", reason));
    const Callback callback = std::exchange(pending->callback, nullptr);
    this->open.remove(pending);
    callback(answer);
}

void SubmissionDesk::tick()
{
    const Instant now = this->clock.now();
    const std::list<std::shared_ptr<Pending>> current = this->open;
    for (const std::shared_ptr<Pending> &pending : current) {
        if (now >= pending->giveUpAt) {
            this->giveUp(pending, "the store has not answered in time");
        } else if (!pending->inFlight && now >= pending->retryAt) {
            this->send(pending);
        }
    }
}

void SubmissionDesk::query(const JobId &job, const Callback &callback)
{
    this->owner.askState(job, [this, job, callback](const OwnerAnswer &answer) {
        if (answer.kind != OwnerAnswer::Kind::Known) {
            this->stateFromRecords(job, callback);
            return;
        }
        CallerAnswer told;
        told.outcome = CallerOutcome::State;
        told.state = answer.state;
        callback(told);
    });
}

void SubmissionDesk::stateFromRecords(const JobId &job, const Callback &callback)
{
    this->view.refresh([this, job, callback](bool succeeded) {
        if (!succeeded) {
            callback(this->refusal("neither the owner nor the store answers"));
            return;
        }
        const JobEntry *entry = this->view.book().find(job);
        CallerAnswer told;
        told.outcome = entry == nullptr ? CallerOutcome::NoSuchJob : CallerOutcome::State;
        told.state = entry == nullptr ? JobState::Queued : entry->shownState();
        callback(told);
    });
}

void SubmissionDesk::cancel(const CallerRequest &request, const QueuePolicy &queue,
                            const JobId &job, const Callback &callback)
{
    const Instant giveUpAt = this->giveUpTime(request, queue);
    this->query(job, [this, job, giveUpAt, callback](const CallerAnswer &state) {
        if (state.outcome != CallerOutcome::State) {
            callback(state);
            return;
        }
        if (state.state != JobState::Queued && state.state != JobState::Running) {
            CallerAnswer answer;
            answer.outcome = CallerOutcome::Cancelled;
            callback(answer);
            return;
        }
        Pending pending;
        pending.job = job;
        // The value only says that the key exists.
        pending.record = { records::cancellationKey(job), R"({"schema":1})", 0 };
        pending.success = CallerOutcome::Cancelled;
        pending.giveUpAt = giveUpAt;
        pending.callback = callback;
        this->append(std::move(pending));
    });
}

void SubmissionDesk::count(const std::string &queue, const Callback &callback)
{
    this->owner.askWaiting(queue, [this, queue, callback](const OwnerAnswer &answer) {
        CallerAnswer told;
        told.outcome = CallerOutcome::Waiting;
        told.waiting = answer.waiting;
        if (answer.kind == OwnerAnswer::Kind::Known) {
            callback(told);
            return;
        }
        this->view.refresh([this, queue, callback](bool succeeded) {
            if (!succeeded) {
                callback(this->refusal("neither the owner nor the store answers"));
                return;
            }
            CallerAnswer counted;
            counted.outcome = CallerOutcome::Waiting;
            for (const auto &[id, job] : this->view.book().entries()) {
                counted.waiting += job.waitsIn(queue) ? 1U : 0U;
            }
            callback(counted);
        });
    });
}

} // namespace bulrush
