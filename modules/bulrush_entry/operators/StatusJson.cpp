#include "bulrush_entry/operators/StatusJson.h"

#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/Placement.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace bulrush {

namespace {

using nlohmann::json;

json runJson(const TargetId &worker, const Run &run)
{
    return { { "task", text(run.attempt.task) },
             { "attempt", run.attempt.attempt },
             { "worker", worker.name() },
             { "percent", run.progressPercent },
             { "pace", run.pacePercent },
             { "stopping", run.stopRequested },
             { "unanswered", run.phase == RunPhase::Unconfirmed } };
}

json stepJson(const JobEntry &job, std::uint32_t occurrence, std::uint32_t step)
{
    const TaskStates &tasks = job.occurrences.at(occurrence).steps[step].tasks;
    std::uint32_t running = 0;
    std::uint32_t failures = 0;
    for (const auto &[index, task] : tasks.kept()) {
        running += task.openRuns > 0 ? 1U : 0U;
        failures += static_cast<std::uint32_t>(task.failedAttempts.size());
    }
    return { { "occurrence", occurrence },
             { "step", step },
             { "tasks", tasks.size() },
             { "succeeded", tasks.succeeded() },
             { "running", running },
             { "failedAttempts", failures },
             { "waitsForSteps", !job.dependenciesMet(occurrence, step) } };
}

/** Returns whether the data centres of all workers that could run a step are being evacuated. */
bool onlyEvacuatedWorkersFit(const JobEntry &job, std::uint32_t step, const Dispatcher &dispatcher)
{
    TaskRequest request;
    request.step = &job.spec.steps[step];
    request.service = job.spec.service;
    bool evacuated = false;
    for (const auto &[id, worker] : dispatcher.runs().workers()) {
        if (worker.isInService() && Placement::isEligible(worker, request)) {
            if (!worker.evacuated) {
                return false;
            }
            evacuated = true;
        }
    }
    return evacuated;
}

/** Returns the occurrences that are under way, and the first that has not ended. */
std::set<std::uint32_t> occurrencesToShow(const OccurrenceTable &occurrences)
{
    std::set<std::uint32_t> shown { std::min(occurrences.firstOpen(), occurrences.size() - 1) };
    for (const auto &[occurrence, state] : occurrences.kept()) {
        shown.insert(occurrence);
    }
    return shown;
}

json degradedReasons(const NodeStatus &status)
{
    json degraded = json::array();
    if (status.configVersion == 0) {
        degraded.push_back("no configuration yet");
    }
    if (status.storeLost) {
        const auto silent = duration_cast<milliseconds>(status.storeSilence).count();
        degraded.push_back("the store has not answered for " + std::to_string(silent) + " ms");
    }
    return degraded;
}

} // namespace

std::string statusJson(const NodeStatus &status, const Dispatcher &dispatcher)
{
    json record = { { "node", status.node },
                    { "dataCentre", status.dataCentre },
                    { "uptimeSeconds", duration_cast<seconds>(status.uptime).count() },
                    { "ready", status.ready },
                    { "draining", status.draining },
                    { "degraded", degradedReasons(status) },
                    { "peers", json::array() },
                    { "recordsOffset", status.configVersion },
                    { "logAvailable", !status.storeLost } };
    if (status.owner) {
        record["groups"] = json::array({ { { "group", "workers" },
                                           { "fencingToken", status.fencingToken },
                                           { "workers", dispatcher.runs().workers().size() } } });
    }
    for (const auto &[dataCentre, request] : status.evacuations) {
        const auto age = duration_cast<milliseconds>(status.now - request.readAt).count();
        record["evacuations"].push_back({ { "dataCentre", dataCentre.name() },
                                          { "offset", request.offset },
                                          { "ageMs", age } });
    }
    json workers = json::array();
    for (const auto &[id, worker] : dispatcher.runs().workers()) {
        workers.push_back({ { "worker", id.name() },
                            { "listed", worker.listed },
                            { "answers", worker.confirmed },
                            { "draining", worker.entry.draining },
                            { "evacuated", worker.evacuated },
                            { "runs", worker.runs.size() },
                            { "freeCpuMilli", worker.free().cpuMilli },
                            { "failureShare", worker.failureShare } });
    }
    record["workers"] = std::move(workers);
    return record.dump();
}

std::optional<std::string> explainJson(const JobId &id, const StepJobTable &table,
                                       const Dispatcher &dispatcher)
{
    const JobEntry *job = table.find(id);
    if (job == nullptr) {
        return std::nullopt;
    }
    json record = { { "job", id.name() },
                    { "queue", job->spec.queue },
                    { "state", text(job->visibleState()) },
                    { "cancelled", job->cancelled },
                    { "endOnRecord", job->endStored } };
    json steps = json::array();
    for (const std::uint32_t occurrence : occurrencesToShow(job->occurrences)) {
        for (std::uint32_t step = 0; step < job->spec.steps.size(); ++step) {
            steps.push_back(stepJson(*job, occurrence, step));
            const bool waits = job->occurrences.at(occurrence).steps[step].tasks.open() > 0
                    && job->dependenciesMet(occurrence, step);
            if (waits && onlyEvacuatedWorkersFit(*job, step, dispatcher)) {
                steps.back()["waitReason"] = text(WaitReason::Evacuated);
            }
        }
    }
    json runs = json::array();
    for (const auto &[worker, state] : dispatcher.runs().workers()) {
        for (const auto &[attempt, run] : state.runs) {
            if (attempt.task.job == id) {
                runs.push_back(runJson(worker, run));
                runs.back()["evacuated"] = state.evacuated;
            }
        }
    }
    record["steps"] = std::move(steps);
    record["runs"] = std::move(runs);
    return record.dump();
}

} // namespace bulrush
