// An executor crashes and starts again, with the same id and address, as one of another kind. No
// task may start on it that needs the kind it had before.

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

constexpr int executors = 8;
constexpr const char *wantedKind = "std";
constexpr const char *otherKind = "big";
constexpr const char *constrained = "c0ffee5eed1ab5e1";

constexpr std::int64_t downMs = 1500;
constexpr int playedSeconds = 14;

constexpr int verdictHeld = 0;
constexpr int verdictBroken = 1;
constexpr int verdictNotRun = 2;

/** Returns the body of a submission with more tasks than the executors of one kind have room for.
 */
json submissionBody()
{
    const json phase = { { "count", 80 },
                         { "cpu", 16'000 },
                         { "memMb", 500 },
                         { "estimateMs", 1700 },
                         { "constraints", wantedKind } };
    return { { "spec", "1700" }, { "phases", { phase } } };
}

int play(const CaseSettings &settings, Record &record)
{
    Deployment deployment(settings, record);
    std::atomic<int> wrongStarts = 0;
    for (int number = 0; number < executors; ++number) {
        deployment.addWorker(
                number % 2 == 0 ? wantedKind : otherKind,
                [&](FleetWorker &, const BegunTask &task) {
                    if (task.task.starts_with(constrained) && task.kind != wantedKind) {
                        ++wrongStarts;
                        record.line("WRONG KIND: " + task.task + " has begun on " + task.executor
                                    + ", which is of the kind " + task.kind);
                    }
                });
    }
    if (!deployment.startNodes()) {
        record.line("the nodes aren't ready");
        return verdictNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (!deployment.submit(constrained, submissionBody())) {
        return verdictNotRun;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    if (settings.trouble) {
        deployment.workers.front()->crashIn(0, downMs, otherKind);
    }
    for (int second = 0; second < playedSeconds; ++second) {
        std::this_thread::sleep_for(std::chrono::seconds(1));
        deployment.stateOf(constrained, static_cast<std::size_t>(second));
    }
    record.line("starts on an executor without the label: " + std::to_string(wrongStarts));
    if (deployment.anyNodeEnded()) {
        record.line("a node ended by itself");
        return verdictNotRun;
    }
    return wrongStarts > 0 ? verdictBroken : verdictHeld;
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
