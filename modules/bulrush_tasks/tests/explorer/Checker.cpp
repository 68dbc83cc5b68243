#include "Checker.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrush::explorer {

namespace {

std::int64_t progressOf(const std::string &checkpoint)
{
    return checkpoint.empty() ? 0 : std::stoll(checkpoint);
}

std::string textOf(const AttemptId &attempt)
{
    return attempt.task.text() + '/' + std::to_string(attempt.attempt);
}

} // namespace

void Checker::recordAppended(const std::string &stream, std::string_view payload)
{
    const auto value = nlohmann::json::parse(payload);
    if (!value.contains("records")) {
        return;
    }
    const Epoch epoch = value.at("epoch");
    Epoch &fencingEpoch = this->fencingEpochs[stream];
    if (value.at("sequence") == 0) {
        fencingEpoch = std::max(fencingEpoch, epoch);
    }
    if (epoch != fencingEpoch) {
        return;
    }
    for (const auto &record : value.at("records")) {
        if (record.at(0) == "e") {
            const AttemptId attempt { { JobId(record.at(1).get<std::string>()), record.at(2) },
                                      record.at(3) };
            this->endRecorded(attempt, static_cast<Outcome>(record.at(4).get<int>()), record.at(5));
        }
    }
}

void Checker::endRecorded(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint)
{
    if (!this->recordedEnds.insert(attempt).second) {
        return; // the same batch was appended twice
    }
    const bool final = outcome == Outcome::Finished || outcome == Outcome::Cancelled
            || outcome == Outcome::Abandoned;
    if (final && !this->finishedTasks.insert(attempt.task).second) {
        throw InvariantViolation("4: " + textOf(attempt) + " finished a second time");
    }
    if (outcome != Outcome::Evicted) {
        return;
    }
    const auto ended = this->endedAttempts.find(attempt);
    const auto running = this->runningOn.find(attempt.task);
    if (ended == this->endedAttempts.end() && running != this->runningOn.end()) {
        throw InvariantViolation("3: " + textOf(attempt)
                                 + " was recorded as evicted while its task runs");
    }
    if (ended != this->endedAttempts.end() && ended->second.item.checkpoint != checkpoint) {
        throw InvariantViolation("3: " + textOf(attempt) + " stopped at checkpoint "
                                 + ended->second.item.checkpoint + " but was recorded at "
                                 + checkpoint);
    }
    this->resumePositions[attempt.task] = progressOf(checkpoint);
}

void Checker::attemptStarted(const VmId &worker, const StartCommand &start)
{
    const TaskId &task = start.attempt.task;
    const auto running = this->runningOn.find(task);
    if (running != this->runningOn.end()) {
        throw InvariantViolation("2: " + textOf(start.attempt) + " starts on " + worker.name()
                                 + " while " + task.text() + " runs on " + running->second.name());
    }
    if (this->finishedTasks.contains(task)) {
        throw InvariantViolation("4: " + textOf(start.attempt)
                                 + " starts after its task's final end");
    }
    if (!this->startedAttempts.insert(start.attempt).second) {
        throw InvariantViolation("3: " + textOf(start.attempt) + " starts a second time");
    }
    for (const auto &[attempt, ended] : this->endedAttempts) {
        // A result at an unreachable worker does not count once the attempt is recorded as lost.
        const bool unrecorded =
                ended.item.state == AttemptState::Finished && !this->recordedEnds.contains(attempt);
        if (attempt.task == task && unrecorded) {
            throw InvariantViolation("4: " + textOf(start.attempt) + " starts although "
                                     + textOf(attempt) + " finished on " + ended.worker.name());
        }
    }
    const auto resume = this->resumePositions.find(task);
    if (resume != this->resumePositions.end() && progressOf(start.checkpoint) < resume->second) {
        throw InvariantViolation("3: " + textOf(start.attempt) + " starts at '" + start.checkpoint
                                 + "', before the checkpoint of its eviction");
    }
    this->runningOn[task] = worker;
}

void Checker::attemptEnded(const VmId &worker, const InventoryItem &item)
{
    this->runningOn.erase(item.attempt.task);
    this->endedAttempts[item.attempt] = { worker, item };
}

void Checker::attemptForgotten(const InventoryItem &item)
{
    if (!this->recordedEnds.contains(item.attempt)) {
        throw InvariantViolation("4: " + textOf(item.attempt)
                                 + " was forgotten before its end was recorded");
    }
    this->endedAttempts.erase(item.attempt);
}

void Checker::workerStateLost(const VmId &worker)
{
    std::erase_if(this->runningOn, [&worker](const auto &entry) { return entry.second == worker; });
    std::erase_if(this->endedAttempts,
                  [&worker](const auto &entry) { return entry.second.worker == worker; });
}

void Checker::requireWithinCapacity(const VmId &worker, const Resources &used,
                                    const Resources &capacity) const
{
    if (!used.fitsIn(capacity)) {
        throw InvariantViolation("1: " + worker.name() + " is committed beyond its capacity");
    }
}

std::size_t Checker::finishedCount(const JobId &job) const
{
    const auto isOfJob = [&job](const TaskId &task) { return task.job == job; };
    return static_cast<std::size_t>(
            std::count_if(this->finishedTasks.begin(), this->finishedTasks.end(), isOfJob));
}

std::size_t Checker::startCount(const JobId &job) const
{
    const auto isOfJob = [&job](const AttemptId &attempt) { return attempt.task.job == job; };
    return static_cast<std::size_t>(
            std::count_if(this->startedAttempts.begin(), this->startedAttempts.end(), isOfJob));
}

VmId Checker::workerRunning(const TaskId &task) const
{
    const auto found = this->runningOn.find(task);
    return found == this->runningOn.end() ? VmId() : found->second;
}

} // namespace bulrush::explorer
