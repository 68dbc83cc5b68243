// The part of WorkerManager that tells the crash of a worker's process from its silence.

#include "bulrush_steps/workers/WorkerManager.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

bool lists(const HoldAnswer &answer, const AttemptRef &attempt)
{
    const auto isAttempt = [&attempt](const auto &each) { return each.attempt == attempt; };
    return std::any_of(answer.running.begin(), answer.running.end(), isAttempt)
            || std::any_of(answer.ended.begin(), answer.ended.end(), isAttempt);
}

} // namespace

void WorkerManager::reportDeparture(Worker &worker)
{
    // A worker that is cut off leaves the list as well, but then requests to it go unanswered.
    const bool processEnded = worker.holdFailure == CommandOutcome::Refused
            || worker.holdFailure == CommandOutcome::OtherWorker;
    if (!worker.listed && processEnded) {
        this->reportCrash(worker, std::exchange(worker.unexplainedRuns, {}),
                          "the worker's process is gone");
    }
}

void WorkerManager::reportRestart(Worker &worker, Instant sentAt, const HoldAnswer &answer)
{
    std::vector<Run> runs = std::exchange(worker.unexplainedRuns, {});
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
    if (worker.entry.draining) {
        return;
    }
    for (const Run &run : runs) {
        this->listener.runCrashed(worker, run, evidence);
    }
}

} // namespace bulrush
