#include "FakeWorker.h"

namespace bulrush::explorer {

namespace {

/** The interval at which a running task writes a checkpoint without a command. */
constexpr std::int64_t checkpointIntervalMs = 2000;

/** How long a failing task runs before it fails. */
constexpr std::int64_t failureDelayMs = 300;

} // namespace

FakeWorker::FakeWorker(const VmId &id, const Resources &vmCapacity, Checker &invariantChecker,
                       const WorkerGuards &workerGuards)
    : vm(id)
    , capacity(vmCapacity)
    , checker(invariantChecker)
    , guards(workerGuards)
{
}

ExchangeAnswer FakeWorker::handle(const ExchangeRequest &request)
{
    const bool fromOwner = request.sequence > 0;
    const bool newer =
            std::pair(request.epoch, request.sequence) > std::pair(this->epoch, this->sequence);
    const bool accepted = !fromOwner || newer || !this->guards.compareToken;
    if (accepted && fromOwner) {
        this->epoch = request.epoch;
        this->sequence = request.sequence;
    }
    const std::string incarnationText = std::to_string(this->incarnation);
    const bool sameIncarnation =
            request.incarnation == incarnationText || !this->guards.compareIncarnation;
    const bool unexpired = request.validUntilMs >= this->clockMs || !this->guards.compareValidity;
    if (accepted) {
        this->applyCommands(request, sameIncarnation && unexpired, fromOwner);
    }
    ExchangeAnswer answer;
    answer.worker = this->vm;
    answer.accepted = accepted;
    answer.epoch = this->epoch;
    answer.sequence = this->sequence;
    answer.incarnation = incarnationText;
    answer.clockMs = this->clockMs;
    answer.leaving = this->leaving;
    answer.capacity = this->capacity;
    for (const auto &[attempt, entry] : this->attempts) {
        answer.inventory.push_back(entry.item);
    }
    return answer;
}

void FakeWorker::applyCommands(const ExchangeRequest &request, bool valid, bool fromOwner)
{
    if (valid) {
        for (const Renewal &renewal : request.renewals) {
            const auto entry = this->attempts.find(renewal.attempt);
            if (entry != this->attempts.end()) {
                entry->second.leaseEndMs = this->clockMs + renewal.leaseMs;
            }
        }
    }
    if (!fromOwner) {
        return;
    }
    for (const StartCommand &command : request.starts) {
        if (valid && !this->attempts.contains(command.attempt)) {
            this->start(command, request.epoch);
        }
    }
    for (const AttemptId &attempt : request.checkpoints) {
        this->checkpoint(attempt);
    }
    for (const AttemptId &attempt : request.stops) {
        const auto entry = this->attempts.find(attempt);
        if (entry != this->attempts.end() && entry->second.item.state == AttemptState::Running) {
            this->checkpoint(attempt);
            this->end(entry->second, AttemptState::Stopped);
        }
    }
    for (const AttemptId &attempt : request.forgets) {
        const auto entry = this->attempts.find(attempt);
        if (entry != this->attempts.end() && entry->second.item.state != AttemptState::Running) {
            this->checker.attemptForgotten(entry->second.item);
            this->attempts.erase(entry);
        }
    }
}

void FakeWorker::start(const StartCommand &command, Epoch startEpoch)
{
    this->checker.attemptStarted(this->vm, command);
    AttemptEntry entry;
    entry.item.attempt = command.attempt;
    entry.item.epoch = startEpoch;
    entry.item.need = command.need;
    entry.item.checkpoint = command.checkpoint;
    entry.leaseEndMs = this->clockMs + command.leaseMs;
    entry.runMs = command.runMs;
    entry.kind = command.kind;
    entry.progressMs = command.checkpoint.empty() ? 0 : std::stoll(command.checkpoint);
    this->attempts[command.attempt] = entry;
    this->checker.requireWithinCapacity(this->vm, this->used(), this->capacity);
}

void FakeWorker::end(AttemptEntry &entry, AttemptState state)
{
    entry.item.state = state;
    if (state == AttemptState::Finished) {
        entry.item.result = "done";
    }
    this->checker.attemptEnded(this->vm, entry.item);
}

void FakeWorker::checkpoint(const AttemptId &attempt)
{
    const auto entry = this->attempts.find(attempt);
    if (entry != this->attempts.end() && entry->second.item.state == AttemptState::Running) {
        entry->second.item.checkpoint = std::to_string(entry->second.progressMs);
    }
}

void FakeWorker::advance(Duration span)
{
    if (!this->alive) {
        return;
    }
    const std::int64_t spanMs = duration_cast<milliseconds>(span).count();
    this->clockMs += spanMs;
    for (auto &[attempt, entry] : this->attempts) {
        if (entry.item.state != AttemptState::Running) {
            continue;
        }
        const std::int64_t before = entry.progressMs;
        entry.progressMs += spanMs;
        if (before / checkpointIntervalMs != entry.progressMs / checkpointIntervalMs) {
            this->checkpoint(attempt);
        }
        const bool fails = this->failing || this->failingJobs.contains(attempt.task.job);
        if (this->guards.runsOutLeases && this->clockMs >= entry.leaseEndMs) {
            this->end(entry, AttemptState::Lapsed);
        } else if (fails && entry.progressMs >= failureDelayMs) {
            this->end(entry, AttemptState::Failed);
        } else if (entry.kind == TaskKind::Batch && entry.progressMs >= entry.runMs) {
            this->end(entry, AttemptState::Finished);
        }
    }
}

void FakeWorker::restart()
{
    this->attempts.clear();
    this->epoch = 0;
    this->sequence = 0;
    ++this->incarnation;
    this->checker.workerStateLost(this->vm);
}

void FakeWorker::kill()
{
    this->restart();
    this->alive = false;
}

Resources FakeWorker::used() const
{
    Resources total;
    for (const auto &[attempt, entry] : this->attempts) {
        if (entry.item.state == AttemptState::Running) {
            total += entry.item.need;
        }
    }
    return total;
}

std::size_t FakeWorker::runningCount() const
{
    std::size_t count = 0;
    for (const auto &[attempt, entry] : this->attempts) {
        count += entry.item.state == AttemptState::Running ? 1 : 0;
    }
    return count;
}

} // namespace bulrush::explorer
