#include "BenchWorkers.h"

#include <utility>

namespace bulrush {

namespace {

/** Network time of an order and its answer together. */
constexpr milliseconds roundTrip { 3 };

/** Tail latency that lasting tasks report, in milliseconds. */
constexpr double lastingTaskTailMs = 18.0;

/** Processors that any other task uses, in thousandths. */
constexpr double taskLoadMilli = 7000.0;

constexpr std::uint32_t fullPercent = 100;

} // namespace

BenchWorkers::BenchWorkers(
        const Clock &benchClock,
        std::function<std::optional<milliseconds>(const AttemptRef &)> timeOfRuns)
    : clock(benchClock)
    , runTimeOf(std::move(timeOfRuns))
{
}

void BenchWorkers::schedule(Duration span, std::function<void()> action)
{
    this->events.push({ this->clock.now() + span, this->nextNumber++, std::move(action) });
}

void BenchWorkers::advance()
{
    while (!this->events.empty() && this->events.top().at <= this->clock.now()) {
        const std::function<void()> action = this->events.top().action;
        this->events.pop();
        action();
    }
}

void BenchWorkers::start(const WorkerAddress &worker, const RunStart &order, Duration /*timeout*/,
                         Callback callback)
{
    ++this->starts;
    State &state = this->states[worker.worker];
    Running running;
    running.listed.attempt = order.attempt;
    running.startedAt = this->clock.now();
    running.runTime = this->runTimeOf(order.attempt);
    running.listed.load = running.runTime ? taskLoadMilli : lastingTaskTailMs;
    if (running.runTime) {
        this->schedule(*running.runTime, [this, name = worker.worker, attempt = order.attempt] {
            this->endRun(name, attempt, EndKind::Succeeded);
        });
    }
    state.running[order.attempt] = running;
    this->schedule(roundTrip, [callback = std::move(callback)] {
        callback({ CommandOutcome::Done, {} });
    });
}

void BenchWorkers::stop(const WorkerAddress &worker, const RunStop &order, Duration /*timeout*/,
                        Callback callback)
{
    this->schedule(
            roundTrip,
            [this, name = worker.worker, attempt = order.attempt, callback = std::move(callback)] {
                this->endRun(name, attempt, EndKind::Stopped);
                callback({ CommandOutcome::Done, {} });
            });
}

void BenchWorkers::pace(const WorkerAddress & /*worker*/, const RunPace & /*order*/,
                        Duration /*timeout*/, Callback callback)
{
    this->schedule(roundTrip, [callback = std::move(callback)] {
        callback({ CommandOutcome::Done, {} });
    });
}

void BenchWorkers::endRun(const TargetId &worker, const AttemptRef &attempt, EndKind kind)
{
    State &state = this->states[worker];
    if (state.running.erase(attempt) == 0) {
        return;
    }
    ++this->ends;
    state.ended.push_back({ ++state.lastEnd, attempt, kind, "" });
    if (state.waiting) {
        this->answerHold(state);
    }
}

void BenchWorkers::hold(const WorkerAddress &worker, const WorkerHold &order, Duration /*timeout*/,
                        std::function<void(HoldAnswer)> callback)
{
    ++this->holds;
    State &state = this->states[worker.worker];
    std::erase_if(state.ended,
                  [&order](const ListedEnd &end) { return end.number <= order.acknowledgedEnds; });
    const std::uint64_t number = this->nextNumber;
    state.waiting = WaitingHold { number, std::move(callback) };
    if (!state.ended.empty() || order.wait == milliseconds(0)) {
        this->answerHold(state);
        return;
    }
    this->schedule(order.wait, [this, number, name = worker.worker] {
        State &waited = this->states[name];
        if (waited.waiting && waited.waiting->number == number) {
            this->answerHold(waited);
        }
    });
}

void BenchWorkers::answerHold(State &state)
{
    HoldAnswer answer;
    answer.outcome = CommandOutcome::Done;
    answer.processStartedAt = 1;
    answer.clock = duration_cast<milliseconds>(this->clock.now().time_since_epoch()).count();
    for (auto &[attempt, running] : state.running) {
        if (running.runTime) {
            const Duration done = this->clock.now() - running.startedAt;
            running.listed.percent = static_cast<std::uint32_t>(
                    fullPercent * done / std::max(milliseconds(1), *running.runTime));
        } else {
            running.listed.percent = fullPercent;
        }
        answer.running.push_back(running.listed);
    }
    answer.ended = state.ended;
    const auto callback = std::exchange(state.waiting, std::nullopt)->callback;
    this->schedule(roundTrip, [callback, answer = std::move(answer)] { callback(answer); });
}

} // namespace bulrush
