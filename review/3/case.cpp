// The store is slow and then down while the tasks of a submission end. The node that orders the
// executors is killed meanwhile, and an executor crashes.

#include "../standins/Deployment.h"

#include <algorithm>
#include <iostream>
#include <string>

namespace {

using review::Deployment;
using review::Event;

constexpr const char *id = "00000000000000f1";
constexpr int warmUps = 3;
constexpr int warmUpTimeoutMs = 5000;
/** The site file has a store that takes up to 71 times as long, for 4.9 s. */
constexpr int slowness = 70;
constexpr int slowLeadMs = 500;
/** How many of the seven tasks have ended when the store goes down. */
constexpr std::ptrdiff_t endsBeforeDown = 4;
constexpr int endsTimeoutMs = 4000;
/** The site file lets the store be down for 4.5 s. */
constexpr int downMs = 2000;
constexpr int killAfterDownMs = 1000;
constexpr int crashAfterDownMs = downMs + 300;
/** The site file lets an executor be down for 4.5 s. */
constexpr int workerDownMs = 4500;
constexpr int nodeDownMs = 3500;
/** The new owner is in touch once the store has been stable for this long. */
constexpr int contactMs = 3000;
constexpr int settleMs = 15'000;
constexpr int pollMs = 5;
/** From the rule: a start counts that comes later than this after the submission was shown as
    completed. */
constexpr int slackMs = 1000;

const char *const submission = R"({"spec":"cpu=100 ms=600+35","phases":[{"count":7,"cpu":100,)"
                               R"("memMb":16,"estimateMs":700,"antiAffinity":1}]})";

void sleepUntil(std::int64_t until)
{
    while (Deployment::nowMs() < until) {
        Deployment::sleepMs(1);
    }
}

std::ptrdiff_t endsOf(const std::vector<Event> &events)
{
    return std::count_if(events.begin(), events.end(), [](const Event &event) {
        return event.what == "end" && event.how == "done" && event.submission() == id;
    });
}

/** Returns the executor whose run of the submission ended last. */
std::string lastWorker(const std::vector<Event> &events)
{
    std::string worker;
    for (const Event &event : events) {
        if (event.what == "end" && event.submission() == id) {
            worker = event.worker;
        }
    }
    return worker;
}

struct Outcome
{
    std::int64_t completedAt = 0;
    std::int64_t inTouchFrom = 0;
    bool ran = false;
};

/** Plays the disruptions around the end of the submission. */
Outcome disrupt(Deployment &deployment)
{
    Outcome outcome;
    const std::int64_t endsUntil = Deployment::nowMs() + endsTimeoutMs;
    while (endsOf(deployment.events()) < endsBeforeDown) {
        if (Deployment::nowMs() > endsUntil) {
            return outcome;
        }
        Deployment::sleepMs(pollMs);
    }
    deployment.setStoreDown(true);
    const std::int64_t downAt = Deployment::nowMs();
    while (Deployment::nowMs() < downAt + killAfterDownMs) {
        if (outcome.completedAt == 0 && deployment.state(id).state() == "completed") {
            outcome.completedAt = Deployment::nowMs();
            deployment.note(std::string("GET ") + id + " -> completed");
        }
        Deployment::sleepMs(pollMs);
    }
    const int owner = deployment.ownerNode();
    const std::string worker = lastWorker(deployment.events());
    if (owner == 0 || worker.empty()) {
        return outcome;
    }
    deployment.killNode(owner);
    sleepUntil(downAt + downMs);
    deployment.setStoreDown(false);
    deployment.setStoreSlow(1);
    outcome.inTouchFrom = Deployment::nowMs() + contactMs;
    // The executor has written its entry anew, so that it is missed only once the new owner is in
    // touch. No node can be the new owner yet.
    sleepUntil(downAt + crashAfterDownMs);
    deployment.killWorker(worker);
    sleepUntil(downAt + killAfterDownMs + nodeDownMs);
    outcome.ran = deployment.ownerNode() != owner;
    deployment.startNode(owner);
    sleepUntil(downAt + crashAfterDownMs + workerDownMs);
    deployment.startWorker(worker, "a");
    return outcome;
}

int run(const std::string &recordPath)
{
    // One executor in seven crashes: a share of 0.14.
    Deployment deployment(recordPath,
                          { { "w1", "a", "r1-1" },
                            { "w2", "a", "r1-1" },
                            { "w3", "a", "r1-1" },
                            { "w4", "a", "r1-1" },
                            { "w5", "a", "r1-2" },
                            { "w6", "a", "r1-2" },
                            { "w7", "a", "r1-2" } });
    if (!deployment.waitUntilServing()) {
        return 2;
    }
    for (int number = 1; number <= warmUps; ++number) {
        const std::string other = review::submissionId(number);
        if (!deployment.submit(other, submission).accepted()
            || deployment.waitForState(other, "completed", warmUpTimeoutMs) != "completed") {
            return 2;
        }
    }
    if (review::withTrouble()) {
        deployment.setStoreSlow(slowness);
        Deployment::sleepMs(slowLeadMs);
    }
    if (!deployment.submit(id, submission).accepted()) {
        return 2;
    }
    Outcome outcome;
    if (review::withTrouble()) {
        outcome = disrupt(deployment);
    } else if (deployment.waitForState(id, "completed", settleMs) == "completed") {
        outcome = { Deployment::nowMs(), 0, true };
    }
    Deployment::sleepMs(settleMs);
    int broken = 0;
    for (const Event &event : deployment.events()) {
        if (event.what == "start" && event.submission() == id && outcome.completedAt != 0
            && event.atMs > outcome.completedAt + slackMs && event.atMs > outcome.inTouchFrom) {
            ++broken;
            deployment.note("TWICE: " + event.line);
        }
    }
    const std::string result = std::string("the submission was ")
            + (outcome.completedAt == 0 ? "not shown" : "shown") + " as completed; "
            + std::to_string(broken) + " starts of its tasks over a second later";
    deployment.note(result);
    std::cout << result << std::endl;
    if (broken > 0) {
        return 1;
    }
    return outcome.ran ? 0 : 2;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
