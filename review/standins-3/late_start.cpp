// An order to start a task gets no answer and is carried out seconds later. Its executor crashes
// meanwhile and starts again with the same id and address. The task must not run twice at a time.

#include "review/standins-3/Bounds.h"
#include "review/standins-3/Deployment.h"

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

constexpr int executors = 8;
constexpr const char *submission = "7a3e51c09b2d4f68";

/** After this, no lease of the time before the nodes started counts. */
constexpr std::chrono::seconds settlingTime { 9 };

constexpr std::int64_t crashAfterMs = 300;
constexpr std::int64_t downMs = 4400;
constexpr std::int64_t lateAfterBootMs = 20;
constexpr std::chrono::milliseconds pollInterval { 10 };
constexpr int polls = 1500;

constexpr int verdictHeld = 0;
constexpr int verdictBroken = 1;
constexpr int verdictNotRun = 2;

json submissionBody()
{
    const json phase = {
        { "count", 1 }, { "cpu", 7000 }, { "memMb", 500 }, { "estimateMs", 6000 }
    };
    return { { "spec", "6000" }, { "phases", { phase } } };
}

/** Returns the names of the executors on which a task is at work. */
std::string executorsOf(Deployment &deployment, const std::string &task, int &count)
{
    std::string names;
    count = 0;
    for (const auto &worker : deployment.workers) {
        if (worker->runs(task)) {
            names += " " + worker->name();
            ++count;
        }
    }
    return names;
}

int play(const CaseSettings &settings, Record &record)
{
    Deployment deployment(settings, record);
    const std::string task = std::string(submission) + ".0.0.0";
    for (int number = 0; number < executors; ++number) {
        deployment.addWorker("std", [](FleetWorker &, const BegunTask &) {});
    }
    if (!deployment.startNodes()) {
        record.line("the nodes aren't ready");
        return verdictNotRun;
    }
    std::this_thread::sleep_for(settlingTime);
    // With equal executors, the task goes to the first.
    FleetWorker &first = *deployment.workers.front();
    if (settings.trouble) {
        first.holdBackStart(task, lateAfterBootMs);
    }
    if (!deployment.submit(submission, submissionBody())) {
        return verdictNotRun;
    }
    if (settings.trouble) {
        first.crashIn(crashAfterMs, downMs, "std");
    }
    bool twice = false;
    std::string before;
    for (int poll = 0; poll < polls; ++poll) {
        std::this_thread::sleep_for(pollInterval);
        int count = 0;
        const std::string now = executorsOf(deployment, task, count);
        // Two looks in a row, as the executors are looked at one after the other.
        if (count > 1 && now == before && !twice) {
            twice = true;
            record.line(std::string("TWICE: ").append(task).append(" is at work on").append(now));
        }
        before = count > 1 ? now : "";
    }
    deployment.stateOf(submission, 0);
    int orders = 0;
    for (const auto &worker : deployment.workers) {
        orders += worker->ordersReceived();
    }
    record.line("orders that the executors received: " + std::to_string(orders));
    if (deployment.anyNodeEnded()) {
        record.line("a node ended by itself");
        return verdictNotRun;
    }
    return twice ? verdictBroken : verdictHeld;
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
