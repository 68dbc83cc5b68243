// Scheduled submissions come at once, each for a year of nights.

#include "../standins/Deployment.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>

namespace {

using review::Deployment;
using review::Event;

constexpr int schedules = 250;
constexpr int nights = 365;
constexpr const char *smallId = "00000000000000d1";
constexpr int settleMs = 15'000;
constexpr int acceptMs = 15'000;
/** finish_s: how long after the end of the traffic submissions are asked for. */
constexpr int finishMs = 14'000;
constexpr int guardIntervalMs = 20;
constexpr int processEnds = 3;

const char *const smallSubmission =
        R"({"spec":"cpu=500 ms=100","phases":[{"count":4,"cpu":500,"memMb":64,"estimateMs":100}]})";

std::string schedule(int repeats)
{
    // The first night is in a day, by the clock of the machine that hands it in.
    constexpr std::int64_t dayMs = 86'400'000;
    const std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count();
    return R"({"spec":"cpu=500 ms=100","phases":[{"count":8,"cpu":500,"memMb":64,"estimateMs":100},)"
           R"({"count":8,"cpu":500,"memMb":64,"estimateMs":100,"dependsOn":[0]}],"repeatCount":)"
            + std::to_string(repeats) + R"(,"startAtMs":)" + std::to_string(now + dayMs)
            + R"(,"intervalMs":)" + std::to_string(dayMs) + "}";
}

int run(const std::string &recordPath)
{
    Deployment deployment(recordPath,
                          { { "w1", "a", "r1-1" }, { "w2", "a", "r1-1" }, { "w3", "a", "r1-2" } });
    if (!deployment.waitUntilServing()) {
        return 2;
    }
    std::atomic<bool> ended = false;
    std::atomic<int> kills = 0;
    std::jthread guard([&deployment, &ended, &kills] {
        while (!ended) {
            kills += deployment.enforceMemoryLimit();
            Deployment::sleepMs(guardIntervalMs);
        }
    });
    const int repeats = review::withTrouble() ? nights : 1;
    int accepted = 0;
    for (int number = 1; number <= schedules; ++number) {
        accepted += deployment.submit(review::submissionId(number), schedule(repeats)).accepted()
                ? 1
                : 0;
    }
    Deployment::sleepMs(settleMs);
    const std::int64_t acceptedUntil = Deployment::nowMs() + acceptMs;
    bool smallAccepted = false;
    while (!smallAccepted && Deployment::nowMs() < acceptedUntil) {
        smallAccepted = deployment.submit(smallId, smallSubmission).accepted();
    }
    const std::string state = deployment.waitForState(smallId, "completed", finishMs);
    ended = true;
    guard.join();
    const std::vector<Event> events = deployment.events();
    const auto starts = std::count_if(events.begin(), events.end(), [](const Event &event) {
        return event.what == "start" && event.submission() == smallId;
    });
    const std::string result = std::to_string(accepted) + " schedules accepted, "
            + std::to_string(kills)
            + " processes ended for their memory; the submission after them: "
            + (smallAccepted ? "accepted" : "not accepted") + ", " + std::to_string(starts)
            + " of 4 tasks started, shown as \"" + state + "\"";
    deployment.note(result);
    std::cout << result << std::endl;
    if (smallAccepted && state == "completed" && kills == 0) {
        return 0;
    }
    return smallAccepted && state != "completed" && kills >= processEnds ? 1 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
