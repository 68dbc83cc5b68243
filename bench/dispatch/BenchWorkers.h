#pragma once

#include "bulrush_steps/bulrush_steps.h"

#include <functional>
#include <map>
#include <queue>

namespace bulrush {

/** Simulated workers that run each attempt for a time set by the bench, on a paused clock. */
class BenchWorkers : public WorkerCommands
{
public:
    /** @param clock advanced by the bench
        @param runTimeOf returns how long an attempt runs; none for a lasting one */
    BenchWorkers(const Clock &clock,
                 std::function<std::optional<milliseconds>(const AttemptRef &)> runTimeOf);

    void start(const WorkerAddress &worker, const RunStart &order, Duration timeout,
               Callback callback) override;
    void stop(const WorkerAddress &worker, const RunStop &order, Duration timeout,
              Callback callback) override;
    void pace(const WorkerAddress &worker, const RunPace &order, Duration timeout,
              Callback callback) override;
    void hold(const WorkerAddress &worker, const WorkerHold &order, Duration timeout,
              std::function<void(HoldAnswer)> callback) override;

    /** Runs all events that are due at the clock's time. */
    void advance();

    std::uint64_t startCount() const { return this->starts; }
    std::uint64_t holdCount() const { return this->holds; }
    std::uint64_t endCount() const { return this->ends; }

private:
    struct Running
    {
        ListedRun listed;
        Instant startedAt {};
        std::optional<milliseconds> runTime;
    };

    struct WaitingHold
    {
        std::uint64_t number = 0;
        std::function<void(HoldAnswer)> callback;
    };

    struct State
    {
        std::map<AttemptRef, Running> running;
        std::vector<ListedEnd> ended;
        std::uint64_t lastEnd = 0;
        std::optional<WaitingHold> waiting;
    };

    struct Event
    {
        Instant at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(this->at, this->number) > std::tie(other.at, other.number);
        }
    };

    void schedule(Duration span, std::function<void()> action);
    void endRun(const TargetId &worker, const AttemptRef &attempt, EndKind kind);
    void answerHold(State &state);

    const Clock &clock;
    const std::function<std::optional<milliseconds>(const AttemptRef &)> runTimeOf;
    std::map<TargetId, State> states;
    std::priority_queue<Event> events;
    std::uint64_t nextNumber = 0;
    std::uint64_t starts = 0;
    std::uint64_t holds = 0;
    std::uint64_t ends = 0;
};

} // namespace bulrush
