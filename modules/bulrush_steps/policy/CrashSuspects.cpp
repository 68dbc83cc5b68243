#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A run is young below this age; a crash under a young run makes its task a suspect. */
constexpr milliseconds youngAge { 500 };

/** How long a suspected task waits for a worker without young runs. */
constexpr milliseconds maxApartWait { 1500 };

/** Crashes in a row under a young run at which a task is given up whose last attempt was started
    apart. */
constexpr std::size_t maxYoungCrashesApart = 2;

/** The same if it was started beside others, for example as a member of a gang. */
constexpr std::size_t maxYoungCrashes = 4;

/** Crashes of any age at which a task is given up. */
constexpr std::size_t maxCrashes = 4;

/** After a run of this length, crashes under earlier runs of a long-running task count no more. */
constexpr milliseconds longRun { 3000 };

bool contains(const std::vector<std::uint64_t> &attempts, std::uint64_t attempt)
{
    return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

} // namespace

bool CrashSuspects::countCrash(StepTask &task, std::uint64_t attempt, RunAge age)
{
    if (contains(task.crashedAttempts, attempt) || contains(task.youngCrashes, attempt)) {
        return false;
    }
    if (age == RunAge::Young) {
        task.youngCrashes.push_back(attempt);
    }
    task.crashedAttempts.push_back(attempt);
    return true;
}

bool CrashSuspects::clearSuspicion(const StepSpec &step, StepTask &task, milliseconds age)
{
    bool changed = !task.youngCrashes.empty();
    task.youngCrashes.clear();
    if (step.runsIndefinitely && age >= longRun) {
        changed = changed || !task.crashedAttempts.empty();
        task.crashedAttempts.clear();
    }
    return changed;
}

bool CrashSuspects::mustGiveUp(const StepTask &task, bool startedApart)
{
    const std::size_t limit = startedApart ? maxYoungCrashesApart : maxYoungCrashes;
    return task.youngCrashes.size() >= limit || task.crashedAttempts.size() >= maxCrashes;
}

bool CrashSuspects::requireApart(StepTask &task, Instant now)
{
    if (task.youngCrashes.empty()) {
        return false;
    }
    if (!task.apartWaitSince) {
        task.apartWaitSince = now;
    }
    return now - *task.apartWaitSince < maxApartWait;
}

bool CrashSuspects::hasYoungRun(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&worker](const auto &each) {
        return ageOf(worker, each.second) == RunAge::Young;
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

bool CrashSuspects::crashPointsAtOther(const Worker &worker, const AttemptRef &attempt)
{
    return isSetApart(worker) && worker.apartRun != attempt;
}

RunAge CrashSuspects::ageOf(const Worker &worker, const Run &run)
{
    const bool reportedLater = lastKnownAge(worker, run) >= youngAge;
    if (reportedLater && run.phase == RunPhase::Running) {
        return RunAge::Lasted;
    }
    return reportedLater || run.found ? RunAge::Unknown : RunAge::Young;
}

milliseconds CrashSuspects::lastKnownAge(const Worker &worker, const Run &run)
{
    return std::max(duration_cast<milliseconds>(worker.reportedAt - run.startSentAt),
                    milliseconds(0));
}

} // namespace bulrush
