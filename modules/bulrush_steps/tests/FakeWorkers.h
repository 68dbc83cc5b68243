#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bulrush::test {

/** The state of a simulated worker, which carries out orders and has a steady clock of its own. */
struct FakeWorker
{
    UnixMillis processStartedAt = 1;
    Instant startedAt {};
    /** Whether starts, stops and holds have no effect and end as Unknown. */
    bool silent = false;
    /** Whether starts are carried out but end as Unknown, as if their answers were lost. */
    bool losesStartAnswers = false;
    /** Whether starts are carried out but stay without an answer until
        FakeWorkers::answerKeptStarts(). */
    bool keepsStartAnswers = false;
    /** Whether starts have no effect and end as NoRoom. */
    bool refusesStarts = false;
    std::uint64_t fencingToken = 0;
    WorkerMillis leaseEnd = 0;
    std::map<AttemptRef, ListedRun> running;
    /** When each run was first listed; its progress counts from then. */
    std::map<AttemptRef, Instant> listedSince;
    /** The percentage at which its runs stop to rise: 100 for a long-running task at work. */
    std::int64_t highestPercent = 99;
    /** Whether runs make no progress although the worker still answers. */
    bool hangs = false;
    /** Whether answers to holds list no runs, as if they were made before any run started. */
    bool omitsRuns = false;
    /** Whether holds have no effect and stay without an answer until FakeWorkers::failKeptHolds().
     */
    bool keepsHolds = false;
    /** Whether starts and holds end as Unknown and have their effect only with
        FakeWorkers::deliverDelayed(), on the process that the worker has by then. */
    bool delaysCommands = false;
    std::vector<ListedEnd> ended;
    /** The maximum number of ended runs in one answer to a hold, which lists the oldest. */
    std::size_t maxListedEnds = 500;
    std::uint64_t lastEndNumber = 0;
    /** The highest end number that a hold has acknowledged. */
    std::uint64_t acknowledged = 0;
    std::vector<AttemptRef> stopped;
};

/** Simulated workers behind the WorkerCommands port. Callbacks are called by deliver(). */
class FakeWorkers : public WorkerCommands
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
        if (this->onStart) {
            this->onStart();
        }
        if (fake.delaysCommands) {
            this->delayed.emplace_back([this, id = worker.worker, order] {
                this->startAnswer(this->workers[id], order);
            });
        }
        if (fake.silent || fake.delaysCommands) {
            this->enqueue([callback] { callback({ CommandOutcome::Unknown, {} }); });
            return;
        }
        CommandAnswer answer = this->startAnswer(fake, order);
        if (fake.losesStartAnswers) {
            answer = {};
        }
        if (fake.keepsStartAnswers) {
            this->keptStartAnswers.emplace_back([callback, answer] { callback(answer); });
            return;
        }
        this->enqueue([callback, answer] { callback(answer); });
    }

    void stop(const WorkerAddress &worker, const RunStop &order, Duration /*timeout*/,
              Callback callback) override
    {
        FakeWorker &fake = this->workers[worker.worker];
        if (fake.silent) {
            this->enqueue([callback] { callback({ CommandOutcome::Unknown, {} }); });
            return;
        }
        fake.stopped.push_back(order.attempt);
        if (fake.running.erase(order.attempt) > 0) {
            fake.ended.push_back({ ++fake.lastEndNumber, order.attempt, EndKind::Stopped, "" });
        }
        this->enqueue([callback] { callback({ CommandOutcome::Done, {} }); });
    }

    void pace(const WorkerAddress & /*worker*/, const RunPace & /*order*/, Duration /*timeout*/,
              Callback callback) override
    {
        this->enqueue([callback] { callback({ CommandOutcome::Done, {} }); });
    }

    void hold(const WorkerAddress &worker, const WorkerHold &order, Duration /*timeout*/,
              std::function<void(HoldAnswer)> callback) override
    {
        const FakeWorker &fake = this->workers[worker.worker];
        if (fake.keepsHolds) {
            this->keptHolds.push_back(std::move(callback));
            return;
        }
        if (fake.delaysCommands) {
            this->delayed.emplace_back([this, id = worker.worker, order] {
                this->holdAnswer(this->workers[id], order);
            });
            this->enqueue([callback] { callback({}); });
            return;
        }
        if (this->evaluatesHoldsOnDelivery) {
            this->enqueue([this, name = worker.worker, order, callback] {
                callback(this->holdAnswer(this->workers[name], order));
            });
            return;
        }
        const HoldAnswer answer = this->holdAnswer(this->workers[worker.worker], order);
        this->enqueue([callback, answer] { callback(answer); });
    }

    /** Calls the callbacks of all pending answers. Answers to calls that these callbacks make stay
        pending until the next deliver(). */
    void deliver()
    {
        std::deque<std::function<void()>> now;
        now.swap(this->pending);
        for (const auto &answer : now) {
            answer();
        }
    }

    /** Ends a run as if its task had ended by itself; holds list the end from then on. */
    void endRun(const TargetId &worker, const AttemptRef &attempt, EndKind kind)
    {
        FakeWorker &fake = this->workers[worker];
        fake.running.erase(attempt);
        fake.ended.push_back({ ++fake.lastEndNumber, attempt, kind, "" });
    }

    /** Restarts a worker's process: its state is lost, and it reports a later processStartedAt. */
    void restart(const TargetId &worker)
    {
        const UnixMillis newStart = this->workers[worker].processStartedAt + 1;
        this->workers[worker] = FakeWorker();
        this->workers[worker].processStartedAt = newStart;
        this->workers[worker].startedAt = this->clock.now();
    }

    /** Answers the starts that were kept without an answer, at the next deliver(). */
    void answerKeptStarts()
    {
        for (const auto &answer : std::exchange(this->keptStartAnswers, {})) {
            this->enqueue(answer);
        }
    }

    /** Answers the holds that were kept with Unknown, at the next deliver(). */
    void failKeptHolds()
    {
        for (const auto &callback : std::exchange(this->keptHolds, {})) {
            this->enqueue([callback] { callback({}); });
        }
    }

    /** Carries out the commands that were delayed, without answers. */
    void deliverDelayed()
    {
        for (const auto &command : std::exchange(this->delayed, {})) {
            command();
        }
    }

    /** Returns the number of runs of a task that are alive: on workers whose lease is not over. */
    std::size_t aliveRuns(const TaskRef &task) const
    {
        std::size_t alive = 0;
        for (const auto &[id, fake] : this->workers) {
            const bool hasLease = fake.leaseEnd > this->workerClock(fake);
            for (const auto &[attempt, run] : fake.running) {
                alive += hasLease && attempt.task == task ? 1 : 0;
            }
        }
        return alive;
    }

    /** A start order that was sent, whether it took effect or not. */
    struct SentStart
    {
        TargetId worker;
        AttemptRef attempt;
    };

    std::map<TargetId, FakeWorker> workers;
    std::vector<SentStart> starts;
    /** Called for each start order, for example to let time pass that the order takes. */
    std::function<void()> onStart;
    /** Whether a hold is evaluated when its answer is delivered instead of when it is sent, like a
        hold that waits at its worker before it is answered. */
    bool evaluatesHoldsOnDelivery = false;

private:
    CommandAnswer startAnswer(FakeWorker &fake, const RunStart &order)
    {
        CommandAnswer answer { CommandOutcome::Done, this->workerClock(fake) };
        if (order.fencingToken < fake.fencingToken) {
            answer.outcome = CommandOutcome::Fenced;
        } else if (fake.refusesStarts) {
            answer.outcome = CommandOutcome::NoRoom;
        } else {
            fake.fencingToken = order.fencingToken;
            this->extendLease(fake, order.leaseEnd);
            fake.running[order.attempt] = { order.attempt, "", 0, 0.0 };
        }
        return answer;
    }

    HoldAnswer holdAnswer(FakeWorker &fake, const WorkerHold &order)
    {
        HoldAnswer answer;
        if (fake.silent) {
            return answer;
        }
        answer.outcome = CommandOutcome::Done;
        answer.clock = this->workerClock(fake);
        answer.processStartedAt = fake.processStartedAt;
        if (order.fencingToken < fake.fencingToken) {
            answer.outcome = CommandOutcome::Fenced;
        } else {
            this->applyHold(fake, order, answer);
        }
        return answer;
    }

    void applyHold(FakeWorker &fake, const WorkerHold &order, HoldAnswer &answer)
    {
        fake.fencingToken = order.fencingToken;
        this->extendLease(fake, order.leaseEnd.value_or(0));
        fake.acknowledged = std::max(fake.acknowledged, order.acknowledgedEnds);
        std::erase_if(fake.ended, [&order](const ListedEnd &end) {
            return end.number <= order.acknowledgedEnds;
        });
        constexpr milliseconds timePerPercent { 100 };
        for (auto &[attempt, run] : fake.running) {
            if (fake.omitsRuns) {
                continue;
            }
            const Instant since =
                    fake.listedSince.try_emplace(attempt, this->clock.now()).first->second;
            if (!fake.hangs) {
                const auto percent = (this->clock.now() - since) / timePerPercent;
                run.percent = static_cast<std::uint32_t>(std::min(fake.highestPercent, percent));
            }
            answer.running.push_back(run);
        }
        const std::size_t listed = std::min(fake.ended.size(), fake.maxListedEnds);
        answer.ended.assign(fake.ended.begin(),
                            fake.ended.begin() + static_cast<std::ptrdiff_t>(listed));
        answer.listsAllEnds = listed < fake.maxListedEnds;
    }

    /** Prolongs the lease of a worker's process to a moment of its clock, by the longest lease at
        most. */
    void extendLease(FakeWorker &fake, WorkerMillis leaseEnd) const
    {
        constexpr milliseconds maxLease { 6000 };
        const WorkerMillis latest = this->workerClock(fake) + maxLease.count();
        fake.leaseEnd = std::max(fake.leaseEnd, std::min(leaseEnd, latest));
    }

    WorkerMillis workerClock(const FakeWorker &fake) const
    {
        return 1000 + duration_cast<milliseconds>(this->clock.now() - fake.startedAt).count();
    }

    void enqueue(std::function<void()> answer) { this->pending.push_back(std::move(answer)); }

    const Clock &clock;
    std::deque<std::function<void()>> pending;
    std::vector<std::function<void(HoldAnswer)>> keptHolds;
    std::vector<std::function<void()>> keptStartAnswers;
    std::vector<std::function<void()>> delayed;
};

/** A list of the workers whose processes run. Callbacks are called by deliver(). */
class FakeProcesses : public WorkerProcessList
{
public:
    void read(Duration /*timeout*/, Callback callback) override
    {
        ++this->reads;
        this->pending.push_back(std::move(callback));
    }

    void deliver()
    {
        for (const Callback &callback : std::exchange(this->pending, {})) {
            callback(this->list);
        }
    }

    /** Nullopt while the list cannot be read. */
    std::optional<WorkerProcesses> list;
    int reads = 0;

private:
    std::vector<Callback> pending;
};

/** A log in memory. Calls succeed while it is up; callbacks are called by deliver(). */
class FakeLog : public KeyedLog
{
public:
    void append(LogStream stream, const std::vector<KeyedRecord> &records,
                const std::optional<WriterMark> &mark, Duration /*timeout*/,
                std::function<void(AppendAnswer)> callback) override
    {
        AppendAnswer answer;
        if (this->exceedsLimits(records)) {
            answer.outcome = StoreOutcome::Invalid;
        } else if (!this->up) {
            answer.outcome = this->refusesAppends ? StoreOutcome::Refused : StoreOutcome::Unknown;
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
        if (this->losesAppendAnswers) {
            answer.outcome = StoreOutcome::Unknown;
        }
        this->enqueue([callback, answer] { callback(answer); });
    }

    LogLimits limits() const override
    {
        return this->announcesLimits ? this->maxSizes : LogLimits();
    }

    void read(LogStream stream, LogOffset from, milliseconds /*wait*/, Duration /*timeout*/,
              std::function<void(ReadResult)> callback) override
    {
        ReadResult result;
        if (this->up) {
            std::vector<KeyedRecord> &records = this->streams[stream];
            result.outcome =
                    from < this->firstRetained ? StoreOutcome::Trimmed : StoreOutcome::Done;
            result.end = records.size();
            result.next = std::min<std::size_t>(records.size(), from + this->recordsPerRead);
            for (std::size_t at = from; at < result.next; ++at) {
                result.records.push_back(records[at]);
                result.records.back().offset = at;
            }
        }
        this->enqueue([callback, result] { callback(result); });
    }

    void newest(LogStream stream, std::string_view afterKey, Duration /*timeout*/,
                std::function<void(NewestResult)> callback) override
    {
        NewestResult result;
        if (this->up) {
            result.outcome = StoreOutcome::Done;
            result.end = this->streams[stream].size();
            std::map<std::string, KeyedRecord> newestByKey;
            for (std::size_t at = 0; at < this->streams[stream].size(); ++at) {
                KeyedRecord record = this->streams[stream][at];
                record.offset = at;
                newestByKey[record.key] = record;
            }
            for (const auto &[key, record] : newestByKey) {
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
        this->enqueue([callback, result] { callback(result); });
    }

    /** Calls the callbacks of all pending answers. Answers to calls that these callbacks make stay
        pending until the next deliver(). */
    void deliver()
    {
        std::deque<std::function<void()>> now;
        now.swap(this->pending);
        for (const auto &answer : now) {
            answer();
        }
    }

    /** Returns the newest value of a key; empty when it has none. */
    std::string newestValue(LogStream stream, const std::string &key)
    {
        std::string value;
        for (const KeyedRecord &record : this->streams[stream]) {
            value = record.key == key ? record.value : value;
        }
        return value;
    }

    LogLimits maxSizes;
    /** Whether limits() returns maxSizes; otherwise the limits are lower than it tells. */
    bool announcesLimits = true;
    bool up = true;
    /** Whether appends end as Refused instead of Unknown while the log is down. */
    bool refusesAppends = false;
    /** Whether all appends end as Unknown, as if their answers were lost. They take effect all the
        same while the log is up. */
    bool losesAppendAnswers = false;
    std::uint64_t epoch = 0;
    std::size_t pageSize = 2;
    /** The maximum number of records that one read returns. */
    std::size_t recordsPerRead = 1000;
    /** Reads from an offset below this one end as Trimmed. */
    LogOffset firstRetained = 0;
    std::map<LogStream, std::vector<KeyedRecord>> streams;

private:
    bool exceedsLimits(const std::vector<KeyedRecord> &records) const
    {
        std::size_t bytes = 0;
        bool tooLong = false;
        for (const KeyedRecord &record : records) {
            bytes += LogLimits::sizeInAppend(record);
            tooLong = tooLong || record.size() > this->maxSizes.record;
        }
        return tooLong || bytes > this->maxSizes.append;
    }

    void enqueue(std::function<void()> answer) { this->pending.push_back(std::move(answer)); }

    std::deque<std::function<void()>> pending;
};

} // namespace bulrush::test
