#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::test {

/** A worker that runs what it is told to, by its own steady clock. */
struct FakeWorker
{
    UnixMillis bornAt = 1;
    Instant startedAt {};
    /** Orders and holds get no answer. */
    bool silent = false;
    /** Starts are carried out, and their answers are lost. */
    bool losesStartAnswers = false;
    std::uint64_t fencingToken = 0;
    WorkerMillis leaseEnd = 0;
    std::map<AttemptRef, ListedRun> running;
    /** When a run was first listed; runs progress from then on, unless the worker hangs. */
    std::map<AttemptRef, Instant> listedSince;
    bool hangs = false;
    /** Its answers to holds were made before anything ran. */
    bool hidesRuns = false;
    std::vector<ListedEnd> ended;
    std::uint64_t lastEnd = 0;
    /** The greatest acknowledgement that it got. */
    std::uint64_t acknowledged = 0;
    std::vector<AttemptRef> stopped;
};

/** Workers behind the port: answers are handed over by deliver(). */
class FakeWorkers : public WorkerOrders
{
public:
    explicit FakeWorkers(const Clock &systemClock)
        : clock(systemClock)
    {
    }

    void start(const WorkerAddress &worker, const RunStart &order, Duration /*timeout*/,
               Callback callback) override
    {
        FakeWorker &fake = this->workers[worker.worker];
        this->starts.push_back({ worker.worker, order.attempt });
        if (fake.silent) {
            this->later([callback] { callback({ OrderOutcome::Unknown, {} }); });
            return;
        }
        OrderAnswer answer { OrderOutcome::Done, this->workerClock(fake) };
        if (order.fencingToken < fake.fencingToken) {
            answer.outcome = OrderOutcome::Fenced;
        } else {
            fake.fencingToken = order.fencingToken;
            fake.leaseEnd = std::max(fake.leaseEnd, order.leaseEnd);
            fake.running[order.attempt] = { order.attempt, "", 0, 0.0 };
        }
        if (fake.losesStartAnswers) {
            answer.outcome = OrderOutcome::Unknown;
        }
        this->later([callback, answer] { callback(answer); });
    }

    void stop(const WorkerAddress &worker, const RunStop &order, Duration /*timeout*/,
              Callback callback) override
    {
        FakeWorker &fake = this->workers[worker.worker];
        if (fake.silent) {
            this->later([callback] { callback({ OrderOutcome::Unknown, {} }); });
            return;
        }
        fake.stopped.push_back(order.attempt);
        if (fake.running.erase(order.attempt) > 0) {
            fake.ended.push_back({ ++fake.lastEnd, order.attempt, EndKind::Stopped, "" });
        }
        this->later([callback] { callback({ OrderOutcome::Done, {} }); });
    }

    void pace(const WorkerAddress & /*worker*/, const RunPace & /*order*/, Duration /*timeout*/,
              Callback callback) override
    {
        this->later([callback] { callback({ OrderOutcome::Done, {} }); });
    }

    void hold(const WorkerAddress &worker, const WorkerHold &order, Duration /*timeout*/,
              std::function<void(HoldAnswer)> callback) override
    {
        if (this->holdsWait) {
            this->later([this, name = worker.worker, order, callback] {
                callback(this->holdAnswer(this->workers[name], order));
            });
            return;
        }
        const HoldAnswer answer = this->holdAnswer(this->workers[worker.worker], order);
        this->later([callback, answer] { callback(answer); });
    }

    /** Hands over all answers that wait. */
    void deliver()
    {
        std::deque<std::function<void()>> now;
        now.swap(this->waiting);
        for (const auto &answer : now) {
            answer();
        }
    }

    /** Ends a run as a task would. */
    void endRun(const TargetId &worker, const AttemptRef &attempt, EndKind kind)
    {
        FakeWorker &fake = this->workers[worker];
        fake.running.erase(attempt);
        fake.ended.push_back({ ++fake.lastEnd, attempt, kind, "" });
    }

    /** Crashes a worker; it starts anew at once. */
    void restart(const TargetId &worker)
    {
        const UnixMillis born = this->workers[worker].bornAt + 1;
        this->workers[worker] = FakeWorker();
        this->workers[worker].bornAt = born;
        this->workers[worker].startedAt = this->clock.now();
    }

    struct Started
    {
        TargetId worker;
        AttemptRef attempt;
    };

    std::map<TargetId, FakeWorker> workers;
    std::vector<Started> starts;
    /** A hold waits at its worker and is answered as things are when its answer is delivered. */
    bool holdsWait = false;

private:
    HoldAnswer holdAnswer(FakeWorker &fake, const WorkerHold &order)
    {
        HoldAnswer answer;
        if (fake.silent) {
            return answer;
        }
        answer.outcome = OrderOutcome::Done;
        answer.clock = this->workerClock(fake);
        answer.bornAt = fake.bornAt;
        if (order.fencingToken < fake.fencingToken) {
            answer.outcome = OrderOutcome::Fenced;
        } else {
            this->holdOn(fake, order, answer);
        }
        return answer;
    }

    void holdOn(FakeWorker &fake, const WorkerHold &order, HoldAnswer &answer)
    {
        fake.fencingToken = order.fencingToken;
        fake.leaseEnd = std::max(fake.leaseEnd, order.leaseEnd.value_or(0));
        fake.acknowledged = std::max(fake.acknowledged, order.acknowledgedEnds);
        std::erase_if(fake.ended, [&order](const ListedEnd &end) {
            return end.number <= order.acknowledgedEnds;
        });
        constexpr milliseconds spanOfOnePercent { 100 };
        constexpr std::int64_t almostDone = 99;
        for (auto &[attempt, run] : fake.running) {
            if (fake.hidesRuns) {
                continue;
            }
            const Instant since =
                    fake.listedSince.try_emplace(attempt, this->clock.now()).first->second;
            if (!fake.hangs) {
                const auto percent = (this->clock.now() - since) / spanOfOnePercent;
                run.percent = static_cast<std::uint32_t>(std::min(almostDone, percent));
            }
            answer.running.push_back(run);
        }
        answer.ended = fake.ended;
    }

    WorkerMillis workerClock(const FakeWorker &fake) const
    {
        return 1000 + duration_cast<milliseconds>(this->clock.now() - fake.startedAt).count();
    }

    void later(std::function<void()> answer) { this->waiting.push_back(std::move(answer)); }

    const Clock &clock;
    std::deque<std::function<void()>> waiting;
};

/** A log whose appends succeed while it is up; answers are handed over by deliver(). */
class FakeLog : public KeyedLog
{
public:
    void append(LogStream stream, const std::vector<KeyedRecord> &records,
                const std::optional<WriterMark> &mark, Duration /*timeout*/,
                std::function<void(AppendAnswer)> callback) override
    {
        AppendAnswer answer;
        if (!this->up) {
            answer.outcome = this->refuses ? StoreOutcome::Refused : StoreOutcome::Unknown;
        } else if (mark && mark->epoch < this->epoch) {
            answer.outcome = StoreOutcome::Fenced;
        } else {
            this->epoch = mark ? mark->epoch : this->epoch;
            answer.outcome = StoreOutcome::Done;
            answer.offset = this->streams[stream].size();
            for (const KeyedRecord &record : records) {
                this->streams[stream].push_back(record);
            }
        }
        if (this->losesAnswers) {
            answer.outcome = StoreOutcome::Unknown;
        }
        this->later([callback, answer] { callback(answer); });
    }

    void read(LogStream stream, LogOffset from, milliseconds /*wait*/, Duration /*timeout*/,
              std::function<void(ReadResult)> callback) override
    {
        ReadResult result;
        if (this->up) {
            std::vector<KeyedRecord> &records = this->streams[stream];
            result.outcome = from < this->firstKept ? StoreOutcome::Trimmed : StoreOutcome::Done;
            result.end = records.size();
            result.next = records.size();
            for (std::size_t at = from; at < records.size(); ++at) {
                result.records.push_back(records[at]);
                result.records.back().offset = at;
            }
        }
        this->later([callback, result] { callback(result); });
    }

    void newest(LogStream stream, std::string_view afterKey, Duration /*timeout*/,
                std::function<void(NewestResult)> callback) override
    {
        NewestResult result;
        if (this->up) {
            result.outcome = StoreOutcome::Done;
            result.end = this->streams[stream].size();
            std::map<std::string, KeyedRecord> newestOf;
            for (std::size_t at = 0; at < this->streams[stream].size(); ++at) {
                KeyedRecord record = this->streams[stream][at];
                record.offset = at;
                newestOf[record.key] = record;
            }
            for (const auto &[key, record] : newestOf) {
                if (key <= afterKey || record.value.empty()) {
                    continue;
                }
                if (result.records.size() == this->pageSize) {
                    result.more = true;
                    break;
                }
                result.records.push_back(record);
            }
        }
        this->later([callback, result] { callback(result); });
    }

    /** Hands over all answers that wait. */
    void deliver()
    {
        std::deque<std::function<void()>> now;
        now.swap(this->waiting);
        for (const auto &answer : now) {
            answer();
        }
    }

    /** Returns the newest value of a key, or an empty text. */
    std::string newestValue(LogStream stream, const std::string &key)
    {
        std::string value;
        for (const KeyedRecord &record : this->streams[stream]) {
            value = record.key == key ? record.value : value;
        }
        return value;
    }

    bool up = true;
    /** While it is down: whether it says that it did nothing. */
    bool refuses = false;
    bool losesAnswers = false;
    std::uint64_t epoch = 0;
    std::size_t pageSize = 2;
    LogOffset firstKept = 0;
    std::map<LogStream, std::vector<KeyedRecord>> streams;

private:
    void later(std::function<void()> answer) { this->waiting.push_back(std::move(answer)); }

    std::deque<std::function<void()>> waiting;
};

} // namespace bulrush::test
