#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A run is young below this age; a crash under a young run makes its task a suspect. */
constexpr milliseconds youngAge { 500 };

/** How long a suspected task waits for a worker without young runs. */
constexpr milliseconds maxApartWait { 1500 };

/** The number of crashes in a row, each just after the start, at which a task is given up: if it
    was started apart the last time, and if not, as the members of a gang. */
constexpr std::size_t maxEarlyCrashesApart = 2;
constexpr std::size_t maxEarlyCrashes = 4;

/** The number of crashes of any kind at which a task is given up that is not long-running. */
constexpr std::size_t maxCrashes = 5;

bool contains(const std::vector<std::uint64_t> &attempts, std::uint64_t attempt)
{
    return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

} // namespace

bool CrashSuspects::countCrash(const StepSpec &step, StepTask &task, std::uint64_t attempt,
                               milliseconds age)
{
    if (contains(task.crashedAttempts, attempt) || contains(task.earlyCrashes, attempt)) {
        return false;
    }
    const bool early = age < youngAge;
    const bool changed = early || !step.runsIndefinitely || !task.earlyCrashes.empty();
    if (early) {
        task.earlyCrashes.push_back(attempt);
    } else {
        task.earlyCrashes.clear();
    }
    if (!step.runsIndefinitely) {
        task.crashedAttempts.push_back(attempt);
    }
    return changed;
}

bool CrashSuspects::clear(StepTask &task)
{
    const bool suspected = !task.earlyCrashes.empty();
    task.earlyCrashes.clear();
    return suspected;
}

bool CrashSuspects::isToBlame(const StepSpec &step, const StepTask &task, bool startedApart)
{
    const std::size_t limit = startedApart ? maxEarlyCrashesApart : maxEarlyCrashes;
    return task.earlyCrashes.size() >= limit
            || (!step.runsIndefinitely && task.crashedAttempts.size() >= maxCrashes);
}

bool CrashSuspects::mustStartApart(StepTask &task, Instant now)
{
    if (task.earlyCrashes.empty()) {
        return false;
    }
    if (!task.apartSince) {
        task.apartSince = now;
    }
    return now - *task.apartSince < maxApartWait;
}

bool CrashSuspects::hasYoungRun(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&worker](const auto &each) {
        return lastKnownAge(worker, each.second) < youngAge;
    });
}

void CrashSuspects::setApart(Worker &worker, const AttemptRef &attempt, Instant now)
{
    worker.apartRun = attempt;
    worker.apartRunSentAt = now;
}

bool CrashSuspects::isSetApart(const Worker &worker)
{
    return worker.apartRun && worker.reportedAt - worker.apartRunSentAt < youngAge;
}

bool CrashSuspects::pointsAtOther(const Worker &worker, const AttemptRef &attempt)
{
    return isSetApart(worker) && worker.apartRun != attempt;
}

bool CrashSuspects::hasLasted(const Worker &worker, const Run &run)
{
    return run.phase == RunPhase::Running && lastKnownAge(worker, run) >= youngAge;
}

milliseconds CrashSuspects::lastKnownAge(const Worker &worker, const Run &run)
{
    return std::max(duration_cast<milliseconds>(worker.reportedAt - run.startSentAt),
                    milliseconds(0));
}

} // namespace bulrush
