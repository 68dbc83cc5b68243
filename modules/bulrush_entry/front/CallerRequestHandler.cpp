#include "bulrush_entry/front/CallerRequestHandler.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Part of a caller's time limit that is reserved for the transfer of the answer. */
constexpr milliseconds answerMargin { 250 };

/** Assumed time limit of a caller that names none. */
constexpr milliseconds defaultTimeLimit { 3000 };

/** Delay after which callers are asked to retry while the jobs that have not ended take all memory
    for them. */
constexpr milliseconds memoryRetryAfter { 5000 };

/** Delay after which callers are asked to retry while the cancellations of jobs that are not on
    record are too many. */
constexpr milliseconds cancellationRetryAfter { 5000 };

/** Delay after which callers are asked to retry when other nodes serve the request already. */
constexpr milliseconds otherNodeRetryAfter { 0 };

constexpr std::string_view stopReason = "this node stops";
constexpr std::string_view memoryReason = "the jobs that have not ended take all memory for them";
constexpr std::string_view cancellationsReason =
        "too many jobs that are not on record are cancelled";
constexpr std::string_view tooLargeReason = "the job does not fit into a record of the store";

constexpr std::size_t jobIdDigits = 16;

CallerAnswer malformedAnswer(std::string_view reason)
{
    CallerAnswer answer;
    answer.outcome = CallerOutcome::Malformed;
    answer.reason = reason;
    return answer;
}

bool isJobId(std::string_view text)
{
    const auto isHex = [](char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f')
                || (each >= 'A' && each <= 'F');
    };
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), isHex);
}

} // namespace

CallerRequestHandler::CallerRequestHandler(const Clock &systemClock, KeyedLog &keyedLog,
                                           const RecordDecoder &recordDecoder,
                                           OwnerQuestions &ownerQuestions, RecordsView &recordsView,
                                           StoreHealth &storeHealth, DecisionLog &decisionLog,
                                           JobAdmission jobAdmission)
    : clock(systemClock)
    , log(keyedLog)
    , decoder(recordDecoder)
    , owner(ownerQuestions)
    , view(recordsView)
    , health(storeHealth)
    , decisions(decisionLog)
    , admission(jobAdmission)
    , appends(systemClock, keyedLog, storeHealth, decisionLog, this->admission)
{
}

CallerAnswer CallerRequestHandler::refusal(std::string reason, milliseconds retryAfter) const
{
    CallerAnswer answer;
    answer.outcome = CallerOutcome::Refused;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

CallerAnswer CallerRequestHandler::stopRefusal() const
{
    return this->refusal(std::string(stopReason), otherNodeRetryAfter);
}

Instant CallerRequestHandler::appendDeadline(const CallerRequest &request,
                                             const QueuePolicy &queue) const
{
    milliseconds limit = request.timeLimit.value_or(defaultTimeLimit);
    if (queue.timeout.count() > 0) {
        limit = std::min(limit, queue.timeout);
    }
    return this->clock.now() + std::max(milliseconds(0), limit - answerMargin);
}

void CallerRequestHandler::serve(const CallerRequest &request, const Callback &callback)
{
    if (!this->config) {
        callback(this->refusal("no configuration yet", storeRetryAfter));
        return;
    }
    const QueuePolicy *queue = this->config->queueFor(request.host, request.path);
    if (queue == nullptr) {
        callback({ CallerOutcome::NoSuchQueue, {}, 0, "no such queue", {} });
        return;
    }
    const std::string rest = request.path.substr(queue->prefix.size());
    if (request.kind == CallerRequestKind::Query && rest.empty()) {
        this->answerWaitingCount(queue->name, callback);
        return;
    }
    if (!isJobId(rest) || request.kind == CallerRequestKind::Unsupported) {
        callback({ CallerOutcome::Malformed,
                   {},
                   0,
                   "the path must end with 16 hexadecimal digits",
                   {} });
        return;
    }
    const JobId job(rest);
    if (request.kind == CallerRequestKind::Submit) {
        this->submit(request, *queue, job, callback);
    } else if (request.kind == CallerRequestKind::Cancel) {
        this->cancel(request, *queue, job, callback);
    } else {
        this->query(job, callback);
    }
}

void CallerRequestHandler::submit(const CallerRequest &request, const QueuePolicy &queue,
                                  const JobId &id, const Callback &callback)
{
    if (this->refusesNew) {
        this->refuseSubmission(id, queue.name, this->stopRefusal(), callback);
        return;
    }
    if (this->health.checkLost()) {
        const Duration silence = this->clock.now() - this->health.lastAnswerAt();
        this->decisions.write(
                DecisionLine(Event::JobRefused)
                        .with("job", id.name())
                        .with("queue", queue.name)
                        .with("reason", "the store does not answer")
                        .with("silent_ms", duration_cast<milliseconds>(silence).count()));
        callback(this->refusal("the store does not answer; the job is not on record",
                               storeRetryAfter));
        return;
    }
    StepJob job;
    try {
        job = this->decoder.submission(request.body);
    } catch (const Error &error) {
        this->refuseSubmission(id, queue.name, malformedAnswer(error.what()), callback);
        return;
    }
    job.id = id;
    this->applyPolicy(job, queue);
    CallerAppend append;
    append.job = id;
    append.record = { records::jobKey(id), records::encode(job), 0 };
    append.success = CallerOutcome::Accepted;
    append.queue = queue.name;
    append.tasks = job.taskCount();
    append.coreMillis = job.estimatedCoreMillis();
    append.memory = StepJobTable::memoryOf(job);
    append.deadline = this->appendDeadline(request, queue);
    append.callback = callback;
    this->askForJobMemory(queue.name);
    if (append.record.size() > this->log.limits().record) {
        this->refuseSubmission(id, queue.name, malformedAnswer(tooLargeReason), callback);
    } else if (!this->admission.admits(append.memory)) {
        this->refuseSubmission(id, queue.name,
                               this->refusal(std::string(memoryReason), memoryRetryAfter),
                               callback);
    } else {
        this->appends.add(std::move(append));
    }
}

void CallerRequestHandler::applyPolicy(StepJob &job, const QueuePolicy &queue) const
{
    job.queue = queue.name;
    job.service = queue.service;
    job.acceptedAt = this->clock.calendarMillis();
    job.priority = queue.priority;
    job.maxAttempts = queue.maxAttempts;
    job.slackFactor = queue.slackFactor;
    job.latencyTarget = queue.latencyTarget;
}

void CallerRequestHandler::refuseSubmission(const JobId &job, std::string_view queue,
                                            const CallerAnswer &answer, const Callback &callback)
{
    this->decisions.write(DecisionLine(Event::JobRefused)
                                  .with("job", job.name())
                                  .with("queue", queue)
                                  .with("reason", answer.reason));
    callback(answer);
}

void CallerRequestHandler::askForJobMemory(const std::string &queue)
{
    if (this->admission.mustAsk()) {
        this->owner.askWaitingCount(
                queue, [this](const OwnerAnswer &answer) { this->noteMemory(answer); });
    }
}

const OwnerAnswer &CallerRequestHandler::noteMemory(const OwnerAnswer &answer)
{
    if (answer.kind != OwnerAnswer::Kind::NoAnswer) {
        this->admission.reported(answer.jobMemory);
    }
    return answer;
}

void CallerRequestHandler::drain(DrainStep step)
{
    this->refusesNew = this->refusesNew || step != DrainStep::Serve;
    if (step == DrainStep::AnswerOpen || step == DrainStep::Stop) {
        this->answerOpenRequests();
    }
}

void CallerRequestHandler::answerOpenRequests()
{
    const std::list<Question> questions = this->openQuestions;
    for (const Question &question : questions) {
        this->answerQuestion(question, this->stopRefusal());
    }
    this->appends.abandonAll(stopReason, otherNodeRetryAfter);
}

CallerRequestHandler::Question CallerRequestHandler::openQuestion(const Callback &callback)
{
    return this->openQuestions.emplace_back(std::make_shared<Callback>(callback));
}

void CallerRequestHandler::answerQuestion(const Question &question, const CallerAnswer &answer)
{
    const Callback callback = std::exchange(*question, nullptr);
    if (callback) {
        this->openQuestions.remove(question);
        callback(answer);
    }
}

void CallerRequestHandler::query(const JobId &job, const Callback &callback)
{
    if (this->refusesNew) {
        callback(this->stopRefusal());
        return;
    }
    const Question question = this->openQuestion(callback);
    this->owner.askState(job, [this, job, question](const OwnerAnswer &ownerAnswer) {
        if (this->noteMemory(ownerAnswer).kind != OwnerAnswer::Kind::Known) {
            this->answerStateFromRecords(job, question);
            return;
        }
        CallerAnswer answer;
        answer.outcome = CallerOutcome::State;
        answer.state = ownerAnswer.state;
        this->answerQuestion(question, answer);
    });
}

void CallerRequestHandler::answerStateFromRecords(const JobId &job, const Question &question)
{
    this->view.refresh([this, job, question](bool succeeded) {
        if (!succeeded) {
            this->answerQuestion(
                    question,
                    this->refusal("neither the owner nor the store answers", storeRetryAfter));
            return;
        }
        const JobEntry *entry = this->view.jobTable().find(job);
        CallerAnswer answer;
        answer.outcome = entry == nullptr ? CallerOutcome::NoSuchJob : CallerOutcome::State;
        answer.state = entry == nullptr ? JobState::Queued : entry->visibleState();
        this->answerQuestion(question, answer);
    });
}

void CallerRequestHandler::cancel(const CallerRequest &request, const QueuePolicy &queue,
                                  const JobId &job, const Callback &callback)
{
    const Instant deadline = this->appendDeadline(request, queue);
    this->query(job, [this, job, deadline, callback](const CallerAnswer &state) {
        if (state.outcome == CallerOutcome::NoSuchJob) {
            this->cancelBeforeRecord(job, deadline, callback);
        } else if (state.outcome != CallerOutcome::State) {
            callback(state);
        } else if (state.state == JobState::Queued || state.state == JobState::Running) {
            this->appends.add(cancellationOf(job, {}, deadline, callback));
        } else {
            CallerAnswer answer;
            answer.outcome = CallerOutcome::Cancelled;
            callback(answer);
        }
    });
}

void CallerRequestHandler::cancelBeforeRecord(const JobId &job, Instant deadline,
                                              const Callback &callback)
{
    const UnixMillis now = this->clock.calendarMillis();
    if (this->view.jobTable().earlyCancellations().isFull(now)) {
        callback(this->refusal(std::string(cancellationsReason), cancellationRetryAfter));
        return;
    }
    CallerAppend append = cancellationOf(job, { now }, deadline, callback);
    append.success = CallerOutcome::NoSuchJob;
    this->appends.add(std::move(append));
}

CallerAppend CallerRequestHandler::cancellationOf(const JobId &job,
                                                  const Cancellation &cancellation,
                                                  Instant deadline, const Callback &callback)
{
    CallerAppend append;
    append.job = job;
    append.record = { records::cancellationKey(job), records::encode(cancellation), 0 };
    append.success = CallerOutcome::Cancelled;
    append.deadline = deadline;
    append.callback = callback;
    return append;
}

void CallerRequestHandler::answerWaitingCount(const std::string &queue, const Callback &callback)
{
    if (this->refusesNew) {
        callback(this->stopRefusal());
        return;
    }
    const Question question = this->openQuestion(callback);
    this->owner.askWaitingCount(queue, [this, queue, question](const OwnerAnswer &ownerAnswer) {
        if (this->noteMemory(ownerAnswer).kind != OwnerAnswer::Kind::Known) {
            this->answerWaitingCountFromRecords(queue, question);
            return;
        }
        CallerAnswer answer;
        answer.outcome = CallerOutcome::Waiting;
        answer.waiting = ownerAnswer.waiting;
        this->answerQuestion(question, answer);
    });
}

void CallerRequestHandler::answerWaitingCountFromRecords(const std::string &queue,
                                                         const Question &question)
{
    this->view.refresh([this, queue, question](bool succeeded) {
        if (!succeeded) {
            this->answerQuestion(
                    question,
                    this->refusal("neither the owner nor the store answers", storeRetryAfter));
            return;
        }
        CallerAnswer counted;
        counted.outcome = CallerOutcome::Waiting;
        for (const auto &[id, job] : this->view.jobTable().entries()) {
            counted.waiting += job.isQueuedIn(queue) ? 1U : 0U;
        }
        this->answerQuestion(question, counted);
    });
}

} // namespace bulrush
