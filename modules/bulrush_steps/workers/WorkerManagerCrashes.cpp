// The part of WorkerManager that tells the crash of a worker's process from its silence.

#include "bulrush_steps/workers/WorkerManager.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view processEnded = "the worker's process has ended";

/** How long after their lease the runs of a silent worker may be put down to its crash. */
constexpr milliseconds maxCrashDiscovery { 10'000 };

bool lists(const HoldAnswer &answer, const AttemptRef &attempt)
{
    const auto isAttempt = [&attempt](const auto &each) { return each.attempt == attempt; };
    return std::any_of(answer.running.begin(), answer.running.end(), isAttempt)
            || std::any_of(answer.ended.begin(), answer.ended.end(), isAttempt);
}

} // namespace

void WorkerManager::workerEnded(const TargetId &id)
{
    if (Worker *worker = this->find(id)) {
        std::vector<Run> runs = this->takeRunsExpiredOfLate(*worker);
        for (const auto &[attempt, run] : worker->runs) {
            if (run.phase != RunPhase::Assigned) {
                runs.push_back(run);
            }
        }
        worker->processEnded = true;
        this->reportCrash(*worker, runs, processEnded);
        this->dropRunsOfEndedProcess(*worker, processEnded);
    }
    this->listener.workerKnown(id);
}

std::vector<Run> WorkerManager::takeRunsExpiredOfLate(Worker &worker) const
{
    std::vector<Run> runs = std::exchange(worker.runsExpiredInSilence, {});
    if (this->clock.now() - worker.runsExpiredAt > maxCrashDiscovery) {
        // They ended with their lease; the worker has run on and crashed later.
        runs.clear();
    }
    return runs;
}

void WorkerManager::reportRestart(Worker &worker, Instant sentAt, const HoldAnswer &answer)
{
    std::vector<Run> runs = this->takeRunsExpiredOfLate(worker);
    for (const auto &[attempt, run] : worker.runs) {
        // The new process may have begun a run since it made the answer, or may still do so.
        const bool mayBeOfNewProcess = run.phase == RunPhase::Assigned
                || run.phase == RunPhase::Starting
                || (run.phase == RunPhase::Running && run.confirmedAt >= sentAt);
        if (!mayBeOfNewProcess && !lists(answer, attempt)) {
            runs.push_back(run);
        }
    }
    this->reportCrash(worker, runs, "the worker's process restarted");
}

void WorkerManager::reportCrash(Worker &worker, const std::vector<Run> &runs,
                                std::string_view evidence)
{
    if (worker.shutdownAnnounced) {
        // A process that announced its shutdown has not crashed.
        return;
    }
    for (const Run &run : runs) {
        if (!run.mayHaveEnded) {
            const CrashSign sign = CrashSuspects::signOf(worker, runs, run, this->clock.now());
            this->listener.runCrashed(worker, run, sign, evidence);
        }
    }
}

} // namespace bulrush
