// Executors crash twice, each time just after they began a task of a sound submission. The
// submission must go on.

#include "review/standins-3/Bounds.h"
#include "review/standins-3/Deployment.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <thread>

namespace {

using bulrush::review::BegunTask;
using bulrush::review::CaseSettings;
using bulrush::review::Deployment;
using bulrush::review::FleetWorker;
using bulrush::review::Record;
using nlohmann::json;

constexpr int executors = 16;
constexpr const char *watchers = "a1b2c3d4e5f60718";
constexpr const char *batch = "0f1e2d3c4b5a6978";

/** When an executor crashes that has begun the watched task, and for how long it is down. */
constexpr std::int64_t crashDelayMs = 100;
constexpr std::int64_t downMs = 1500;
constexpr int crashesOfTask = 2;

constexpr int verdictHeld = 0;
constexpr int verdictBroken = 1;
constexpr int verdictNotRun = 2;

/** Returns the body of a submission of six tasks. */
json submissionBody(const std::string &spec, bool lasts)
{
    json phase = { { "count", 6 }, { "cpu", 4600 }, { "memMb", 500 }, { "estimateMs", 1700 } };
    if (lasts) {
        phase["longRunning"] = true;
    }
    return { { "spec", spec }, { "phases", { phase } } };
}

/** Crashes the executors that begin one task, as often as it is told. */
class Crasher
{
public:
    Crasher(bool trouble, std::string task)
        : left(trouble ? crashesOfTask : 0)
        , watchedTask(std::move(task))
    {
    }

    void begun(FleetWorker &worker, const BegunTask &task)
    {
        if (task.task == this->watchedTask && this->left.fetch_sub(1) > 0) {
            worker.crashIn(crashDelayMs, downMs, task.kind);
        }
    }

private:
    std::atomic<int> left;
    const std::string watchedTask;
};

/** Looks at a submission for a time. @returns whether it was ever shown as failed */
bool isShownAsFailed(Deployment &deployment, const std::string &submission, int seconds)
{
    bool failed = false;
    for (int second = 0; second < seconds; ++second) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        failed = deployment.stateOf(submission, static_cast<std::size_t>(second)) == "failed"
                || failed;
    }
    return failed;
}

int play(const CaseSettings &settings, Record &record)
{
    Deployment deployment(settings, record);
    Crasher ofWatchers(settings.trouble, std::string(watchers) + ".0.0.0");
    Crasher ofBatch(settings.trouble, std::string(batch) + ".0.0.0");
    for (int number = 0; number < executors; ++number) {
        deployment.addWorker("std", [&](FleetWorker &worker, const BegunTask &task) {
            ofWatchers.begun(worker, task);
            ofBatch.begun(worker, task);
        });
    }
    if (!deployment.startNodes()) {
        record.line("the nodes aren't ready");
        return verdictNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (!deployment.submit(watchers, submissionBody("lasts", true))) {
        return verdictNotRun;
    }
    const bool watchersFailed = isShownAsFailed(deployment, watchers, 12);
    const int atWork = deployment.tasksAtWork(watchers);
    record.line("tasks of the long-running submission at work after 12 s: "
                + std::to_string(atWork));
    if (!deployment.submit(batch, submissionBody("1700", false))) {
        return verdictNotRun;
    }
    const bool batchFailed = isShownAsFailed(deployment, batch, 10);
    record.line(std::string("the long-running submission was ")
                + (watchersFailed ? "shown as failed" : "never shown as failed"));
    record.line(std::string("the batch submission was ")
                + (batchFailed ? "shown as failed" : "never shown as failed"));
    if (deployment.anyNodeEnded()) {
        record.line("a node ended by itself");
        return verdictNotRun;
    }
    return watchersFailed || batchFailed ? verdictBroken : verdictHeld;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const CaseSettings settings = bulrush::review::caseSettings(argc, argv);
        Record record(settings.recordPath);
        const int verdict = play(settings, record);
        record.line("exit " + std::to_string(verdict));
        return verdict;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return verdictNotRun;
    }
}
