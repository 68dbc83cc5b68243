// The store is down for a few seconds while executors run many short tasks.

#include "../standins/Deployment.h"

#include <iostream>
#include <map>
#include <set>
#include <string>

namespace {

using review::Answer;
using review::Deployment;
using review::Event;

constexpr int submissions = 12;
constexpr int warmUpMs = 1500;
/** The site file lets the store be down for 4.5 s. */
constexpr int outageMs = 4000;
constexpr int completionMs = 60'000;

/** Counts the starts that follow an end "done" of the same task which was noted, at any time, while
    the lease had not lapsed in between. */
int startsAfterNotedEnds(const std::vector<Event> &events, Deployment &deployment)
{
    std::set<std::string> noted;
    for (const Event &event : events) {
        if (event.what == "noted" && event.how == "done") {
            noted.insert(event.task + " " + event.attempt);
        }
    }
    std::set<std::string> done;
    int broken = 0;
    for (const Event &event : events) {
        if (event.what == "end" && event.how == "done"
            && noted.contains(event.task + " " + event.attempt)) {
            done.insert(event.task);
        } else if (event.what == "start" && done.contains(event.task)) {
            ++broken;
            deployment.note("TWICE: " + event.line);
        }
    }
    return broken;
}

int run(const std::string &recordPath)
{
    Deployment deployment(recordPath,
                          { { "w1", "a", "r1-1" }, { "w2", "a", "r1-1" }, { "w3", "a", "r1-2" } });
    if (!deployment.waitUntilServing()) {
        return 2;
    }
    for (int number = 1; number <= submissions; ++number) {
        const Answer answer = deployment.submit(
                review::submissionId(number),
                R"({"spec":"cpu=500 ms=100","phases":[{"count":800,"cpu":500,"memMb":64,)"
                R"("estimateMs":100}]})");
        if (!answer.accepted()) {
            return 2;
        }
    }
    Deployment::sleepMs(warmUpMs);
    if (review::withTrouble()) {
        deployment.setStoreDown(true);
        Deployment::sleepMs(outageMs);
        deployment.setStoreDown(false);
    }
    int completed = 0;
    for (int number = 1; number <= submissions; ++number) {
        completed +=
                deployment.waitForState(review::submissionId(number), "completed", completionMs)
                        == "completed"
                ? 1
                : 0;
    }
    const std::vector<Event> events = deployment.events();
    std::size_t starts = 0;
    for (const Event &event : events) {
        starts += event.what == "start" ? 1 : 0;
    }
    const int broken = startsAfterNotedEnds(events, deployment);
    const std::string result = std::to_string(completed) + " of " + std::to_string(submissions)
            + " submissions completed, " + std::to_string(starts) + " starts, "
            + std::to_string(broken) + " of them after an end of the same task that was noted";
    deployment.note(result);
    std::cout << result << std::endl;
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
