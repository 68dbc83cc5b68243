#include "Checker.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bulrush::explorer {

namespace {

std::int64_t position(const std::string &checkpoint)
{
    return checkpoint.empty() ? 0 : std::stoll(checkpoint);
}

std::string nameOf(const AttemptId &attempt)
{
    return attempt.task.text() + '/' + std::to_string(attempt.attempt);
}

} // namespace

void Checker::appended(const std::string &stream, std::string_view payload)
{
    const auto value = nlohmann::json::parse(payload);
    if (!value.contains("records")) {
        return;
    }
    const Epoch epoch = value.at("epoch");
    Epoch &fence = this->fences[stream];
    if (value.at("sequence") == 0) {
        fence = std::max(fence, epoch);
    }
    if (epoch != fence) {
        return;
    }
    for (const auto &record : value.at("records")) {
        if (record.at(0) == "e") {
            const AttemptId attempt { { JobId(record.at(1).get<std::string>()), record.at(2) },
                                      record.at(3) };
            this->recordedEnd(attempt, static_cast<Outcome>(record.at(4).get<int>()), record.at(5));
        }
    }
}

void Checker::recordedEnd(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint)
{
    if (!this->recorded.insert(attempt).second) {
        return; // the same batch took effect twice
    }
    const bool final = outcome == Outcome::Finished || outcome == Outcome::Cancelled
            || outcome == Outcome::Abandoned;
    if (final && !this->finished.insert(attempt.task).second) {
        throw Fault("4: " + nameOf(attempt) + " finished a second time");
    }
    if (outcome != Outcome::Evicted) {
        return;
    }
    const auto book = this->books.find(attempt);
    const auto runs = this->running.find(attempt.task);
    if (book == this->books.end() && runs != this->running.end()) {
        throw Fault("3: " + nameOf(attempt) + " was recorded as evicted while it runs");
    }
    if (book != this->books.end() && book->second.item.checkpoint != checkpoint) {
        throw Fault("3: " + nameOf(attempt) + " stopped at " + book->second.item.checkpoint
                    + " but was recorded at " + checkpoint);
    }
    this->resumeAt[attempt.task] = position(checkpoint);
}

void Checker::started(const VmId &worker, const StartCommand &start)
{
    const TaskId &task = start.attempt.task;
    const auto runs = this->running.find(task);
    if (runs != this->running.end()) {
        throw Fault("2: " + nameOf(start.attempt) + " starts on " + worker.name() + " while "
                    + task.text() + " runs on " + runs->second.name());
    }
    if (this->finished.contains(task)) {
        throw Fault("4: " + nameOf(start.attempt) + " starts after its task's final end");
    }
    if (!this->executed.insert(start.attempt).second) {
        throw Fault("3: " + nameOf(start.attempt) + " is executed twice");
    }
    for (const auto &[attempt, book] : this->books) {
        // A result that waits at a silent worker is void once its loss is on record.
        const bool waits =
                book.item.state == AttemptState::Finished && !this->recorded.contains(attempt);
        if (attempt.task == task && waits) {
            throw Fault("4: " + nameOf(start.attempt) + " starts though " + nameOf(attempt)
                        + " finished on " + book.worker.name());
        }
    }
    const auto resume = this->resumeAt.find(task);
    if (resume != this->resumeAt.end() && position(start.checkpoint) < resume->second) {
        throw Fault("3: " + nameOf(start.attempt) + " starts at '" + start.checkpoint
                    + "', before the checkpoint of its eviction");
    }
    this->running[task] = worker;
}

void Checker::ended(const VmId &worker, const InventoryItem &item)
{
    this->running.erase(item.attempt.task);
    this->books[item.attempt] = { worker, item };
}

void Checker::forgot(const InventoryItem &item)
{
    if (!this->recorded.contains(item.attempt)) {
        throw Fault("4: " + nameOf(item.attempt) + " was forgotten before its end was recorded");
    }
    this->books.erase(item.attempt);
}

void Checker::booksLost(const VmId &worker)
{
    std::erase_if(this->running, [&worker](const auto &entry) { return entry.second == worker; });
    std::erase_if(this->books,
                  [&worker](const auto &entry) { return entry.second.worker == worker; });
}

void Checker::committed(const VmId &worker, const Resources &used, const Resources &capacity) const
{
    if (!used.fitsIn(capacity)) {
        throw Fault("1: " + worker.name() + " is committed beyond its capacity");
    }
}

std::size_t Checker::finishedCount(const JobId &job) const
{
    const auto isOfJob = [&job](const TaskId &task) { return task.job == job; };
    return static_cast<std::size_t>(
            std::count_if(this->finished.begin(), this->finished.end(), isOfJob));
}

std::size_t Checker::startCount(const JobId &job) const
{
    const auto isOfJob = [&job](const AttemptId &attempt) { return attempt.task.job == job; };
    return static_cast<std::size_t>(
            std::count_if(this->executed.begin(), this->executed.end(), isOfJob));
}

VmId Checker::placeOf(const TaskId &task) const
{
    const auto found = this->running.find(task);
    return found == this->running.end() ? VmId() : found->second;
}

} // namespace bulrush::explorer
