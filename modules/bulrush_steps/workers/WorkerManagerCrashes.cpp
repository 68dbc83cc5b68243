// The part of WorkerManager that tells the crash of a worker's process from its silence.

#include "bulrush_steps/workers/WorkerManager.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view processEnded = "the worker's process has ended";

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
        std::vector<Run> runs = std::exchange(worker->runsExpiredInSilence, {});
        for (const auto &[attempt, run] : worker->runs) {
            runs.push_back(run);
        }
        this->reportCrash(*worker, runs, processEnded);
        this->dropRunsOfEndedProcess(*worker, processEnded);
    }
    this->listener.workerKnown(id);
}

void WorkerManager::reportRestart(Worker &worker, Instant sentAt, const HoldAnswer &answer)
{
    std::vector<Run> runs = std::exchange(worker.runsExpiredInSilence, {});
    for (const auto &[attempt, run] : worker.runs) {
        // The new process may have begun a run since it made the answer, or may still do so.
        const bool mayBeOfNewProcess = run.phase == RunPhase::Starting
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
        this->listener.runCrashed(worker, run, evidence);
    }
}

} // namespace bulrush
