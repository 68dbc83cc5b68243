// The store is down for longer than an owner goes on without it, and the owner's last start before
// that is carried out late. The owner gains the ownership again with the same fence number.

#include "../standins-2/CaseRun.h"

#include <memory>

namespace {

using namespace review;

const std::string job = "00000000000000a1";
const std::string firstTask = job + ".0.0.0";
const std::string lateTask = job + ".0.1.0";
const std::string leaving = "00000000000000c2";

/** Takes more of the executor that it runs on than the task of any other submission there, so that
    the late task is placed beside it first, and elsewhere once it has ended. */
const std::string leavingTask = leaving + ".0.0.0";
const std::string staying = "00000000000000b1";

/** After the owner's last confirmed join. All are within two outages of 4.5 s. */
constexpr std::int64_t firstStepEndsMs = 7050;
constexpr std::int64_t leavingEndsMs = 7800;
constexpr std::int64_t storeUpMs = 8000;
constexpr Milliseconds lateBy { 2400 };

std::string oneTask(int cpu)
{
    return R"({"count":1,"cpu":)" + std::to_string(cpu) + R"(,"memMb":512,"estimateMs":8000})";
}

ExecutorRules makeRules(bool trouble)
{
    ExecutorRules rules;
    rules.workOf = [](const std::string &task) -> std::optional<Milliseconds> {
        return task == lateTask ? std::optional(Milliseconds(6000)) : std::nullopt;
    };
    rules.cpuOf = [](const std::string &task) -> std::int64_t {
        if (task == leavingTask) {
            return 40'000;
        }
        if (task.starts_with(staying)) {
            return 30'000;
        }
        return task == lateTask ? 20'000 : 1000;
    };
    const auto wasLate = std::make_shared<bool>(!trouble);
    rules.lateStart = [wasLate](const std::string &task) -> std::optional<Milliseconds> {
        if (task != lateTask || *wasLate) {
            return std::nullopt;
        }
        *wasLate = true;
        return lateBy;
    };
    return rules;
}

void finish(Deployment &deployment, const std::string &task)
{
    for (const auto &executor : deployment.executors) {
        executor->finish(task);
    }
}

/** Waits for the next join of the owner. @returns its time */
std::int64_t awaitJoin(Record &record, PlatformStore &store)
{
    const std::int64_t before = store.holderJoinedAt();
    while (store.holderJoinedAt() == before) {
        std::this_thread::sleep_for(Milliseconds(2));
    }
    record.write("the owner's last join before the outage");
    return store.holderJoinedAt();
}

int run(Record &record, const std::string &folder, bool trouble)
{
    constexpr int executorCount = 4;
    constexpr int nodeCount = 3;
    constexpr Milliseconds startLimit { 5000 };
    constexpr Milliseconds endLimit { 30'000 };
    const ExecutorRules rules = makeRules(trouble);
    Deployment deployment(record, rules, folder, executorCount, nodeCount);
    if (!deployment.awaitReady() || !deployment.submit(staying, "[" + oneTask(30'000) + "]")
        || !deployment.awaitRun(staying + ".0.0.0", startLimit)
        || !deployment.submit(leaving, "[" + oneTask(40'000) + "]")
        || !deployment.awaitRun(leavingTask, startLimit)
        || !deployment.submit(job,
                              "[" + oneTask(1000)
                                      + R"(,{"count":1,"cpu":20000,"memMb":512,"estimateMs":6000,)"
                                        R"("dependsOn":[0]}])")
        || !deployment.awaitRun(firstTask, startLimit)) {
        return couldNotRun;
    }
    const std::int64_t joinedAt = awaitJoin(record, deployment.store);
    if (trouble) {
        deployment.store.setDown(true);
    }
    sleepUntil(record, joinedAt + firstStepEndsMs);
    finish(deployment, firstTask);
    sleepUntil(record, joinedAt + leavingEndsMs);
    finish(deployment, leavingTask);
    sleepUntil(record, joinedAt + storeUpMs);
    if (trouble) {
        deployment.store.setDown(false);
    }
    if (!deployment.awaitState(job, "completed", endLimit)) {
        return couldNotRun;
    }
    return ranTwice(record, deployment.book, lateTask) ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
