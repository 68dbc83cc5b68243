// The store is down for longer than an owner goes on without it. The owner gains the ownership
// again with the same epoch, in which it numbers its appends from the start, so the store takes
// them for repeats. Later the owner is restarted as planned.

#include "../standins-2/CaseRun.h"

namespace {

using namespace review;

const std::string earlier = "00000000000000a0";
const std::string job = "00000000000000a1";
const std::string task = job + ".0.0.0";

/** Within two outages of 4.5 s. */
constexpr std::int64_t outageMs = 8500;
constexpr Milliseconds settleTime { 4000 };

std::string oneTask(int estimateMs)
{
    return R"([{"count":1,"cpu":1000,"memMb":512,"estimateMs":)" + std::to_string(estimateMs)
            + "}]";
}

int run(Record &record, const std::string &folder, bool trouble)
{
    constexpr int executorCount = 3;
    constexpr int nodeCount = 3;
    constexpr Milliseconds limit { 10'000 };
    ExecutorRules rules;
    rules.workOf = [](const std::string &name) -> std::optional<Milliseconds> {
        return name.starts_with(earlier) ? std::optional(Milliseconds(300)) : std::nullopt;
    };
    Deployment deployment(record, rules, folder, executorCount, nodeCount);
    if (!deployment.awaitReady() || !deployment.submit(earlier, oneTask(300))
        || !deployment.awaitState(earlier, "completed", limit)
        || !deployment.submit(job, oneTask(15'000)) || !deployment.awaitRun(task, limit)) {
        return couldNotRun;
    }
    record.write("the owner has made " + std::to_string(deployment.store.appendsOfEpoch())
                 + " appends in its epoch");
    if (trouble) {
        deployment.store.setDown(true);
        sleepUntil(record, record.now() + outageMs);
        deployment.store.setDown(false);
    }
    std::this_thread::sleep_for(settleTime);
    for (const auto &executor : deployment.executors) {
        executor->finish(task);
    }
    if (!deployment.awaitState(job, "completed", limit)) {
        return couldNotRun;
    }
    std::this_thread::sleep_for(settleTime);
    Node &owner = deployment.owner();
    record.write("planned restart of the owner, " + owner.address());
    owner.stop();
    owner.start();
    std::this_thread::sleep_for(Milliseconds(12'000));
    record.write("client: " + job + " is shown as " + deployment.stateOf(job));
    return ranTwice(record, deployment.book, task) ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
