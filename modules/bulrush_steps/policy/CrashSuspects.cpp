#include "bulrush_steps/policy/CrashSuspects.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A run has lasted when its worker reports this long after the start. */
constexpr milliseconds youngAge { 500 };

/** A task that crashes its workers does so within this time from the start, as the owner sees it.
 */
constexpr milliseconds maxCrashDelay { 250 };

/** How long a suspected task waits for a worker without young runs. */
constexpr milliseconds maxApartWait { 1500 };

/** Crashes in a row under a young run, alone on its worker, at which a task is given up. */
constexpr std::size_t maxEvidence = 2;

/** Crashes in a row under a young run at which a task is given up that was alone at one of them. */
constexpr std::size_t maxCrashesAfterEvidence = 3;

/** The same for a task that was alone at none of them. */
constexpr std::size_t maxCrashesBesideOthers = 4;

bool contains(const std::vector<std::uint64_t> &attempts, std::uint64_t attempt)
{
    return std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
}

} // namespace

CrashSign CrashSuspects::signOf(const Worker &worker, const std::vector<Run> &crashed,
                                const Run &run, Instant now)
{
    const bool begun = run.phase == RunPhase::Running && !run.processUnknown && !run.found;
    if (!begun || maxAgeAtCrash(worker, run, now) >= maxCrashDelay) {
        return CrashSign::None;
    }
    // A start without an answer may have been carried out at any moment since.
    const auto mayBeCause = [&](const Run &other) {
        return other.attempt.task.job != run.attempt.task.job && other.phase != RunPhase::Assigned
                && (other.phase != RunPhase::Running
                    || maxAgeAtCrash(worker, other, now) < maxCrashDelay);
    };
    const bool amongOthers = std::any_of(crashed.begin(), crashed.end(), mayBeCause)
            || std::any_of(worker.runs.begin(), worker.runs.end(),
                           [&](const auto &each) { return mayBeCause(each.second); });
    return amongOthers ? CrashSign::Suspicion : CrashSign::Evidence;
}

bool CrashSuspects::countCrash(StepTask &task, std::uint64_t attempt, CrashSign sign)
{
    if (sign == CrashSign::None || contains(task.crashedAttempts, attempt)) {
        return false;
    }
    task.crashedAttempts.push_back(attempt);
    if (sign == CrashSign::Evidence) {
        task.youngCrashes.push_back(attempt);
    }
    return true;
}

bool CrashSuspects::clearSuspicion(StepTask &task)
{
    const bool changed = !task.crashedAttempts.empty() || !task.youngCrashes.empty();
    task.crashedAttempts.clear();
    task.youngCrashes.clear();
    return changed;
}

bool CrashSuspects::mustGiveUp(const StepTask &task)
{
    return task.youngCrashes.size() >= maxEvidence
            || task.crashedAttempts.size()
            >= (task.youngCrashes.empty() ? maxCrashesBesideOthers : maxCrashesAfterEvidence);
}

bool CrashSuspects::requireApart(StepTask &task, Instant now)
{
    if (task.crashedAttempts.empty()) {
        return false;
    }
    if (!task.apartWaitSince) {
        task.apartWaitSince = now;
    }
    return now - *task.apartWaitSince < maxApartWait;
}

bool CrashSuspects::hasYoungRun(const Worker &worker, Instant now)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [now](const auto &each) {
        const Run &run = each.second;
        return run.phase != RunPhase::Running || now - run.startSentAt < maxCrashDelay;
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

milliseconds CrashSuspects::maxAgeAtCrash(const Worker &worker, const Run &run, Instant now)
{
    const Instant crashedBy = worker.silentSince.value_or(now);
    return std::max(duration_cast<milliseconds>(crashedBy - run.startSentAt), milliseconds(0));
}

} // namespace bulrush
