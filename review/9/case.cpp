// A client leaves before it is answered and cancels its submission while the append of the
// submission gets no answer. The cancelling is acknowledged with 410, and the submission runs on.

#include "../standins-2/CaseRun.h"

#include <memory>

namespace {

using namespace review;

const std::string job = "00000000000000a1";
constexpr Milliseconds clientLeavesAfter { 500 };
constexpr Milliseconds lateBy { 2000 };
constexpr Milliseconds patience { 3000 };
constexpr std::int64_t cancelMs = 3000;
constexpr std::int64_t stopTimeoutMs = 200;

/** How long after the latest time by which the tasks have to be gone the case looks again. */
constexpr std::int64_t calmMs = 4000;
constexpr int statusOk = 200;
constexpr int statusGone = 410;

int run(Record &record, const std::string &folder, bool trouble)
{
    constexpr int executorCount = 3;
    constexpr int nodeCount = 3;
    ExecutorRules rules;
    Deployment deployment(record, rules, folder, executorCount, nodeCount);
    if (!deployment.awaitReady()) {
        return couldNotRun;
    }
    const auto wasLate = std::make_shared<bool>(!trouble);
    deployment.store.setLateAppends(
            [wasLate](const std::string & /*topic*/,
                      const std::vector<std::string> &keys) -> std::optional<Milliseconds> {
                if (*wasLate || keys.empty() || keys.front() != "job/" + job) {
                    return std::nullopt;
                }
                *wasLate = true;
                return lateBy;
            });
    const std::string body =
            R"({"spec":"review","phases":[{"count":2,"cpu":1000,"memMb":512,"estimateMs":1000,)"
            R"("longRunning":true}]})";
    deployment.send(deployment.otherNode(0), "POST", job, body, clientLeavesAfter);
    const ClientAnswer answer =
            deployment.send(deployment.otherNode(1), "DELETE", job, {}, patience);
    const std::int64_t answeredAt = record.now();
    if (answer.status != statusOk && answer.status != statusGone) {
        return couldNotRun;
    }
    sleepUntil(record, answeredAt + cancelMs + stopTimeoutMs + calmMs);
    record.write("client: " + job + " is shown as " + deployment.stateOf(job));
    bool broken = false;
    for (const RunOfTask &each : deployment.book.runsOf({})) {
        if (!each.endedAt) {
            record.write("UNASKED: " + each.task + " has run on " + each.executor + " since "
                         + std::to_string(each.startedAt) + " ms, "
                         + std::to_string(record.now() - answeredAt)
                         + " ms after its submission's cancelling was acknowledged");
            broken = true;
        }
    }
    return broken ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
