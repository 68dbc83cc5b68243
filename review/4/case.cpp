// A large submission comes while others are served.

#include "../standins/Deployment.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace {

using review::Deployment;
using review::Event;

constexpr const char *largeId = "00000000000000b1";
constexpr const char *lastingId = "00000000000000c1";
constexpr const char *smallId = "00000000000000d1";
constexpr int largeTasks = 15'000;
constexpr int usualTasks = 900;
constexpr int largeTimeoutMs = 60'000;
constexpr int pollMs = 500;
/** Of three executors with 64 processors each, in thousandths. */
constexpr double allCpu = 192'000;
/** No task of the large submission has started or ended for this long. */
constexpr int quietMs = 3000;
/** finish_s: how long after the end of the traffic submissions are asked for. */
constexpr int finishMs = 14'000;

std::string submission(int tasks)
{
    return R"({"spec":"cpu=500 ms=50","phases":[{"count":)" + std::to_string(tasks)
            + R"(,"cpu":500,"memMb":64,"estimateMs":50}]})";
}

const char *const lasting = R"({"spec":"cpu=1000 ms=0","phases":[{"count":6,"cpu":1000,"memMb":64,)"
                            R"("estimateMs":50,"longRunning":true}]})";

/** Returns when a task of a submission last started or ended; 0 when none has. */
std::int64_t lastActivity(const Deployment &deployment, const std::string &id)
{
    std::int64_t last = 0;
    for (const Event &event : deployment.events()) {
        if ((event.what == "start" || event.what == "end") && event.submission() == id) {
            last = event.atMs;
        }
    }
    return last;
}

std::size_t tasksOf(const Deployment &deployment, const std::string &id, const std::string &what)
{
    std::set<std::string> tasks;
    for (const Event &event : deployment.events()) {
        if (event.what == what && event.submission() == id) {
            tasks.insert(event.task);
        }
    }
    return tasks.size();
}

/** Returns the share of the executors' processors that tasks use. */
double shareInUse(const Deployment &deployment)
{
    std::map<std::string, double> cpuOfRuns;
    for (const Event &event : deployment.events()) {
        const std::string run = event.worker + " " + event.task + " " + event.attempt;
        if (event.what == "start") {
            const std::size_t cpuAt = event.line.find("cpu=");
            cpuOfRuns[run] = std::stod(event.line.substr(cpuAt + 4));
        } else if (event.what == "end") {
            cpuOfRuns.erase(run);
        }
    }
    double used = 0.0;
    for (const auto &[run, cpu] : cpuOfRuns) {
        used += cpu;
    }
    return used / allCpu;
}

int run(const std::string &recordPath)
{
    Deployment deployment(recordPath,
                          { { "w1", "a", "r1-1" }, { "w2", "a", "r1-1" }, { "w3", "a", "r1-2" } });
    if (!deployment.waitUntilServing()) {
        return 2;
    }
    const int tasks = review::withTrouble() ? largeTasks : usualTasks;
    if (!deployment.submit(largeId, submission(tasks)).accepted()) {
        return 2;
    }
    const std::int64_t until = Deployment::nowMs() + largeTimeoutMs;
    while (deployment.state(largeId).state() != "completed" && Deployment::nowMs() < until) {
        const std::int64_t last = lastActivity(deployment, largeId);
        if (last != 0 && Deployment::nowMs() - last > quietMs) {
            break;
        }
        Deployment::sleepMs(pollMs);
    }
    const bool accepted = deployment.submit(lastingId, lasting).accepted()
            && deployment.submit(smallId, submission(4)).accepted();
    if (!accepted) {
        return 2;
    }
    const std::string smallState = deployment.waitForState(smallId, "completed", finishMs);
    const std::string lastingState = deployment.waitForState(lastingId, "running", finishMs);
    const std::string largeState = deployment.waitForState(largeId, "completed", pollMs);
    const double inUse = shareInUse(deployment);
    const std::size_t lastingStarts = tasksOf(deployment, lastingId, "start");
    const std::string result = "large: " + std::to_string(tasksOf(deployment, largeId, "end"))
            + " of " + std::to_string(tasks) + " tasks ended, shown as " + largeState
            + "; small: " + std::to_string(tasksOf(deployment, smallId, "end"))
            + " of 4 tasks ended, shown as " + smallState
            + "; lasting: " + std::to_string(lastingStarts) + " of 6 tasks started, shown as "
            + lastingState + "; share of the processors in use: " + std::to_string(inUse);
    deployment.note(result);
    std::cout << result << std::endl;
    if (lastingStarts > 0) {
        return smallState == "completed" && largeState == "completed" ? 0 : 2;
    }
    return inUse < 0.5 ? 1 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
