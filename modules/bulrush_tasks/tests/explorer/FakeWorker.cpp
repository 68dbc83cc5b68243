#include "FakeWorker.h"

namespace bulrush::explorer {

namespace {

/** How often a running task writes a checkpoint by itself. */
constexpr std::int64_t checkpointEveryMs = 2000;

/** How long a task that fails runs before it does. */
constexpr std::int64_t failAfterMs = 300;

} // namespace

FakeWorker::FakeWorker(const VmId &id, const Resources &vmCapacity, Checker &bookChecker,
                       const WorkerHelp &workerHelp)
    : vm(id)
    , capacity(vmCapacity)
    , checker(bookChecker)
    , help(workerHelp)
{
}

ExchangeAnswer FakeWorker::handle(const ExchangeRequest &request)
{
    const bool owner = request.sequence > 0;
    const bool newer =
            std::pair(request.epoch, request.sequence) > std::pair(this->epoch, this->sequence);
    const bool accepted = !owner || newer || !this->help.compareToken;
    if (accepted && owner) {
        this->epoch = request.epoch;
        this->sequence = request.sequence;
    }
    const std::string name = std::to_string(this->incarnation);
    const bool same = request.incarnation == name || !this->help.compareIncarnation;
    const bool valid = request.validUntilMs >= this->clockMs || !this->help.compareValidity;
    if (accepted) {
        this->obey(request, same && valid, owner);
    }
    ExchangeAnswer answer;
    answer.worker = this->vm;
    answer.accepted = accepted;
    answer.epoch = this->epoch;
    answer.sequence = this->sequence;
    answer.incarnation = name;
    answer.clockMs = this->clockMs;
    answer.leaving = this->leaving;
    answer.capacity = this->capacity;
    for (const auto &[attempt, held] : this->books) {
        answer.inventory.push_back(held.item);
    }
    return answer;
}

void FakeWorker::obey(const ExchangeRequest &request, bool fresh, bool owner)
{
    if (fresh) {
        for (const Renewal &renewal : request.renewals) {
            const auto held = this->books.find(renewal.attempt);
            if (held != this->books.end()) {
                held->second.leaseEndMs = this->clockMs + renewal.leaseMs;
            }
        }
    }
    if (!owner) {
        return;
    }
    for (const StartCommand &command : request.starts) {
        if (fresh && !this->books.contains(command.attempt)) {
            this->start(command, request.epoch);
        }
    }
    for (const AttemptId &attempt : request.checkpoints) {
        this->checkpoint(attempt);
    }
    for (const AttemptId &attempt : request.stops) {
        const auto held = this->books.find(attempt);
        if (held != this->books.end() && held->second.item.state == AttemptState::Running) {
            this->checkpoint(attempt);
            this->end(held->second, AttemptState::Stopped);
        }
    }
    for (const AttemptId &attempt : request.forgets) {
        const auto held = this->books.find(attempt);
        if (held != this->books.end() && held->second.item.state != AttemptState::Running) {
            this->checker.forgot(held->second.item);
            this->books.erase(held);
        }
    }
}

void FakeWorker::start(const StartCommand &command, Epoch startEpoch)
{
    this->checker.started(this->vm, command);
    Held held;
    held.item.attempt = command.attempt;
    held.item.epoch = startEpoch;
    held.item.need = command.need;
    held.item.checkpoint = command.checkpoint;
    held.leaseEndMs = this->clockMs + command.leaseMs;
    held.runMs = command.runMs;
    held.kind = command.kind;
    held.doneMs = command.checkpoint.empty() ? 0 : std::stoll(command.checkpoint);
    this->books[command.attempt] = held;
    this->checker.committed(this->vm, this->used(), this->capacity);
}

void FakeWorker::end(Held &held, AttemptState state)
{
    held.item.state = state;
    if (state == AttemptState::Finished) {
        held.item.result = "done";
    }
    this->checker.ended(this->vm, held.item);
}

void FakeWorker::checkpoint(const AttemptId &attempt)
{
    const auto held = this->books.find(attempt);
    if (held != this->books.end() && held->second.item.state == AttemptState::Running) {
        held->second.item.checkpoint = std::to_string(held->second.doneMs);
    }
}

void FakeWorker::advance(Duration span)
{
    if (!this->alive) {
        return;
    }
    const std::int64_t spanMs = duration_cast<milliseconds>(span).count();
    this->clockMs += spanMs;
    for (auto &[attempt, held] : this->books) {
        if (held.item.state != AttemptState::Running) {
            continue;
        }
        const std::int64_t before = held.doneMs;
        held.doneMs += spanMs;
        if (before / checkpointEveryMs != held.doneMs / checkpointEveryMs) {
            this->checkpoint(attempt);
        }
        const bool fails = this->failing || this->failingJobs.contains(attempt.task.job);
        if (this->help.runsOutLeases && this->clockMs >= held.leaseEndMs) {
            this->end(held, AttemptState::Lapsed);
        } else if (fails && held.doneMs >= failAfterMs) {
            this->end(held, AttemptState::Failed);
        } else if (held.kind == TaskKind::Batch && held.doneMs >= held.runMs) {
            this->end(held, AttemptState::Finished);
        }
    }
}

void FakeWorker::restart()
{
    this->books.clear();
    this->epoch = 0;
    this->sequence = 0;
    ++this->incarnation;
    this->checker.booksLost(this->vm);
}

void FakeWorker::kill()
{
    this->restart();
    this->alive = false;
}

Resources FakeWorker::used() const
{
    Resources total;
    for (const auto &[attempt, held] : this->books) {
        if (held.item.state == AttemptState::Running) {
            total += held.item.need;
        }
    }
    return total;
}

std::size_t FakeWorker::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[attempt, held] : this->books) {
        count += held.item.state == AttemptState::Running ? 1 : 0;
    }
    return count;
}

} // namespace bulrush::explorer
