/**
    bench_dispatch: measures the processor time that the owner's decisions use per simulated second,
    at different numbers of workers. The load is that of a busy day, scaled to the number of
    workers. Sockets and the store are left out.
*/

#include "BenchWorkers.h"
#include "bulrush_core/bulrush_core.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <deque>
#include <iostream>
#include <random>

namespace {

using namespace bulrush;

constexpr milliseconds tickInterval { 10 };
constexpr seconds warmUp { 5 };
constexpr seconds measuredDuration { 15 };

/** Jobs per second and worker, tasks per step, and run times on a busy day. */
constexpr double shortJobsPerWorker = 0.035;
constexpr double fillingJobsPerWorker = 0.04;
constexpr double lastingJobsPerWorker = 0.002;
constexpr std::uint32_t tasksPerShortStep = 8;
constexpr std::uint32_t tasksPerFillingStep = 16;
constexpr std::uint32_t tasksPerLastingStep = 8;
constexpr milliseconds shortRunTime { 800 };
constexpr milliseconds fillingRunTime { 3500 };

/** Accepts every append and calls its callback at the next deliver(). */
class BenchLog : public KeyedLog
{
public:
    void append(LogStream /*stream*/, const std::vector<KeyedRecord> & /*records*/,
                const std::optional<WriterMark> & /*mark*/, Duration /*timeout*/,
                std::function<void(AppendAnswer)> callback) override
    {
        ++this->appends;
        this->pending.push_back([callback = std::move(callback)] {
            AppendAnswer answer;
            answer.outcome = StoreOutcome::Done;
            callback(answer);
        });
    }
    void read(LogStream /*stream*/, LogOffset /*from*/, milliseconds /*wait*/, Duration /*timeout*/,
              std::function<void(ReadResult)> /*callback*/) override
    {
    }
    void newest(LogStream /*stream*/, std::string_view /*afterKey*/, Duration /*timeout*/,
                std::function<void(NewestResult)> /*callback*/) override
    {
    }

    void deliver()
    {
        std::deque<std::function<void()>> delivered;
        delivered.swap(this->pending);
        for (const auto &callback : delivered) {
            callback();
        }
    }

    std::uint64_t appends = 0;

private:
    std::deque<std::function<void()>> pending;
};

class BenchOwner : public Dispatcher::Listener
{
public:
    void superseded(std::string_view /*by*/) override { }
    bool isOwner() const override { return true; }
    bool isSoleOwner() const override { return true; }
};

double processorSeconds()
{
    timespec now {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(now.tv_sec)
            + static_cast<double>(now.tv_nsec) / nanosecondsPerSecond;
}

/** Runs the dispatcher of one owner with simulated workers and submits jobs at a fixed rate. */
class Bench
{
public:
    explicit Bench(std::uint32_t workerCount);

    nlohmann::json run();

private:
    void advance(Duration span);
    void submitDueJobs();
    void submit(const char *kind);
    StepJob makeJob(const std::string &kind);
    std::optional<milliseconds> runTime(const AttemptRef &attempt);

    const std::uint32_t workerCount;
    ManualClock clock;
    NullDecisionLog decisions;
    BenchLog log;
    BenchOwner owner;
    BenchWorkers workers;
    Dispatcher dispatcher;
    std::mt19937 random { 1 };
    /** Jobs due for submission, by kind, with the fraction carried over from earlier ticks. */
    std::map<std::string, double> dueJobs;
    std::uint64_t nextJob = 0;
    std::map<JobId, std::string> kinds;
};

Bench::Bench(std::uint32_t count)
    : workerCount(count)
    , workers(this->clock, [this](const AttemptRef &attempt) { return this->runTime(attempt); })
    , dispatcher(this->clock, this->workers, nullptr, this->log, DispatchSettings(),
                 this->decisions, this->owner)
{
    this->dispatcher.begin({ 1, {} }, StepJobTable());
    for (std::uint32_t number = 0; number < count; ++number) {
        WorkerEntry entry;
        entry.worker = TargetId("worker-" + std::to_string(number));
        entry.service = ServiceId("service");
        entry.endpoint = { "10.0.0.1", 1 };
        entry.capacity = { 64000, 256000, 0 };
        entry.labels = { "a", "r1-" + std::to_string(number / 12) };
        this->dispatcher.workerListed(entry);
    }
}

std::optional<milliseconds> Bench::runTime(const AttemptRef &attempt)
{
    const std::string &kind = this->kinds.at(attempt.task.job);
    if (kind == "lasting") {
        return std::nullopt;
    }
    return kind == "short" ? shortRunTime : fillingRunTime;
}

StepJob Bench::makeJob(const std::string &kind)
{
    std::uniform_int_distribution<int> image(0, 17);
    StepJob job;
    job.id = JobId("job" + std::to_string(this->nextJob++));
    job.queue = kind;
    job.service = ServiceId("service");
    job.maxAttempts = 4;
    job.slackFactor = 2.0;
    job.latencyTarget = milliseconds(1000);
    StepSpec step;
    step.image = kind + std::to_string(image(this->random));
    if (kind == "short") {
        step.taskCount = tasksPerShortStep;
        step.size = { 7000, 20000, 0 };
        step.estimate = shortRunTime;
    } else if (kind == "filling") {
        step.taskCount = tasksPerFillingStep;
        step.size = { 7000, 13000, 0 };
        step.estimate = fillingRunTime;
        step.fills = true;
        step.checkpoints = true;
    } else {
        step.taskCount = tasksPerLastingStep;
        step.size = { 13000, 26000, 0 };
        step.runsIndefinitely = true;
        step.tailTarget = milliseconds(50);
    }
    job.steps = { step };
    return job;
}

void Bench::submit(const char *kind)
{
    const StepJob job = this->makeJob(kind);
    this->kinds[job.id] = kind;
    this->dispatcher.applyJobRecord({ records::jobKey(job.id), records::encode(job), 0 });
}

void Bench::submitDueJobs()
{
    const std::map<const char *, double> rates { { "short", shortJobsPerWorker },
                                                 { "filling", fillingJobsPerWorker },
                                                 { "lasting", lastingJobsPerWorker } };
    for (const auto &[kind, perWorker] : rates) {
        double &count = this->dueJobs[kind];
        count +=
                perWorker * this->workerCount * std::chrono::duration<double>(tickInterval).count();
        for (; count >= 1.0; count -= 1.0) {
            this->submit(kind);
        }
    }
}

void Bench::advance(Duration span)
{
    for (Duration passed {}; passed < span; passed += tickInterval) {
        this->clock.advance(tickInterval);
        this->submitDueJobs();
        this->workers.advance();
        this->log.deliver();
        this->dispatcher.tick();
    }
}

nlohmann::json Bench::run()
{
    for (std::uint32_t number = 0; number < this->workerCount / 6; ++number) {
        this->submit("lasting");
    }
    this->advance(warmUp);
    const std::uint64_t startsBefore = this->workers.startCount();
    const std::uint64_t holdsBefore = this->workers.holdCount();
    const double before = processorSeconds();
    this->advance(measuredDuration);
    const double used = processorSeconds() - before;
    const auto span = static_cast<double>(measuredDuration.count());
    const auto perSecond = [span](std::uint64_t count) {
        return static_cast<double>(count) / span;
    };
    return { { "workers", this->workerCount },
             { "cores", used / span },
             { "starts_a_second", perSecond(this->workers.startCount() - startsBefore) },
             { "holds_a_second", perSecond(this->workers.holdCount() - holdsBefore) },
             { "waiting_jobs", this->dispatcher.waitingJobs("filling") } };
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::uint32_t> sizes { 66, 200, 490 };
    if (argc > 1) {
        sizes = { static_cast<std::uint32_t>(std::stoul(argv[1])) };
    }
    for (const std::uint32_t size : sizes) {
        std::cout << Bench(size).run().dump() << '\n';
    }
    return 0;
}
