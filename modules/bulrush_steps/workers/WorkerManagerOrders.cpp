// The part of WorkerManager that sends starts, stops and paces to workers.

#include "bulrush_steps/workers/WorkerManager.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Time after which a command other than a hold request counts as unanswered. */
constexpr milliseconds commandTimeout { 700 };

/** How long a worker receives no new tasks after it refused a start or did not answer it. */
constexpr milliseconds refusalPause { 400 };

/** Counts a start as no longer in flight. One that was sent before the worker's entry was withdrawn
    and written anew is not among those counted. */
void countStartDone(Worker &worker)
{
    if (worker.commandsInFlight > 0) {
        --worker.commandsInFlight;
    }
}

} // namespace

void WorkerManager::assign(Worker &worker, Run run)
{
    run.phase = RunPhase::Assigned;
    run.startSentAt = this->clock.now();
    run.commandInFlight = true;
    ++worker.commandsInFlight;
    worker.addRun(std::move(run));
}

std::optional<Run> WorkerManager::cancelAssigned(Worker &worker, const AttemptRef &attempt)
{
    countStartDone(worker);
    const auto found = worker.runs.find(attempt);
    if (found == worker.runs.end()) {
        return std::nullopt;
    }
    const Run run = found->second;
    worker.removeRun(attempt);
    return run;
}

void WorkerManager::startAssigned(Worker &worker, Run &run, const StepJob &job,
                                  std::string checkpoint)
{
    const std::optional<WorkerMillis> end = this->leaseEnd(worker);
    RunStart command;
    command.attempt = run.attempt;
    command.payload = job.payload;
    command.leaseEnd = end.value_or(0);
    command.fencingToken = worker.commandToken;
    command.checkpoint = std::move(checkpoint);
    worker.clock.recordLeaseEnd(command.leaseEnd);
    run.phase = RunPhase::Starting;
    run.startSentAt = this->clock.now();
    worker.leaseSentAt = run.startSentAt;
    const AttemptRef attempt = run.attempt;
    StartWindow &window = run.fillCpuMilli > 0 ? this->fillStarts : this->reservingStarts;
    window.started();
    const SentCommand sent { attempt, worker.commandToken, run.startSentAt };
    this->port.start(worker.address, command, commandTimeout,
                     [this, id = worker.entry.worker, sent, &window,
                      isAlive = this->alive](const CommandAnswer &answer) {
                         if (*isAlive) {
                             window.finished(answer.outcome != CommandOutcome::Unknown);
                             this->handleStartAnswer(id, sent, answer);
                         }
                     });
}

void WorkerManager::handleStartAnswer(const TargetId &id, const SentCommand &command,
                                      const CommandAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr) {
        return;
    }
    countStartDone(*worker);
    if (answer.outcome == CommandOutcome::Fenced && this->isSuperseded(*worker, command)) {
        this->listener.superseded(*worker);
        return;
    }
    const AttemptRef &attempt = command.attempt;
    const bool otherProcess = this->noticeOtherProcess(*worker, attempt, command.sentAt, answer);
    const auto found = worker->runs.find(attempt);
    if (found == worker->runs.end()) {
        return;
    }
    Run &run = found->second;
    run.commandInFlight = false;
    if (answer.outcome == CommandOutcome::Done) {
        this->confirmStart(*worker, run, answer.clock && !otherProcess);
        return;
    }
    const Instant now = this->clock.now();
    if (answer.outcome == CommandOutcome::Unknown
        || answer.outcome == CommandOutcome::OtherWorker) {
        run.phase = RunPhase::Unconfirmed;
        this->requestStop(*worker, run);
        worker->avoidUntil = now + refusalPause;
        this->decisions.write(DecisionLine(Event::StartUnanswered)
                                      .with("task", text(attempt.task))
                                      .with("attempt", attempt.attempt)
                                      .with("worker", id.name()));
        return;
    }
    const Run refused = run;
    worker->removeRun(attempt);
    worker->avoidUntil = now + refusalPause;
    this->listener.startRefused(*worker, refused, answer.outcome);
}

void WorkerManager::confirmStart(Worker &worker, Run &run, bool processKnown)
{
    if (run.phase == RunPhase::Running) {
        return;
    }
    run.phase = RunPhase::Running;
    run.processUnknown = !processKnown;
    run.confirmedAt = this->clock.now();
    run.progressedAt = run.confirmedAt;
    if (run.paceLimit < run.pacePercent) {
        this->pace(worker, run, run.paceLimit);
    }
    this->listener.runConfirmed(run);
}

bool WorkerManager::isSuperseded(const Worker &worker, const SentCommand &refused)
{
    if (refused.token == worker.commandToken) {
        return true;
    }
    ++this->processEvents.refusedOlderToken;
    return false;
}

bool WorkerManager::noticeOtherProcess(Worker &worker, const AttemptRef &attempt, Instant sentAt,
                                       const CommandAnswer &answer)
{
    if (!answer.clock || worker.clock.continues(*answer.clock, sentAt)) {
        return false;
    }
    if (worker.confirmed) {
        this->decisions.write(DecisionLine(Event::CommandTakenByOtherProcess)
                                      .with("worker", worker.entry.worker.name())
                                      .with("born_ms", worker.processStartedAt)
                                      .with("task", text(attempt.task))
                                      .with("attempt", attempt.attempt)
                                      .with("worker_clock_ms", *answer.clock));
        ++this->processEvents.tookOthersCommand;
        this->takeNewToken(worker);
    }
    return true;
}

void WorkerManager::sendStop(Worker &worker, Run &run)
{
    run.commandInFlight = true;
    const RunStop command { run.attempt, worker.commandToken };
    const SentCommand sent { run.attempt, worker.commandToken, this->clock.now() };
    this->port.stop(worker.address, command, commandTimeout,
                    [this, id = worker.entry.worker, sent,
                     isAlive = this->alive](const CommandAnswer &answer) {
                        if (*isAlive) {
                            this->handleStopAnswer(id, sent, answer);
                        }
                    });
}

void WorkerManager::handleStopAnswer(const TargetId &id, const SentCommand &command,
                                     const CommandAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr) {
        return;
    }
    if (answer.outcome == CommandOutcome::Fenced && this->isSuperseded(*worker, command)) {
        this->listener.superseded(*worker);
        return;
    }
    this->noticeOtherProcess(*worker, command.attempt, command.sentAt, answer);
    const auto found = worker->runs.find(command.attempt);
    if (found == worker->runs.end()) {
        return;
    }
    Run &run = found->second;
    const bool done = answer.outcome == CommandOutcome::Done;
    run.commandInFlight = done;
    if (done && run.phase != RunPhase::Running) {
        // From now on the worker refuses to start this attempt. If a later report does not list it,
        // it is not alive.
        run.phase = RunPhase::Running;
        run.confirmedAt = this->clock.now();
        worker->nextHoldAt = this->clock.now();
        this->checkSoon(*worker);
    }
}

void WorkerManager::pace(Worker &worker, Run &run, std::uint32_t percent)
{
    if (percent == 0 && run.pacePercent > 0) {
        run.pausedAt = this->clock.now();
    }
    run.pacePercent = percent;
    run.paceSent = true;
    worker.servingPressures.reset();
    // The stall time-out starts again, because the run made no progress while it was paused or
    // makes none from now on.
    run.progressedAt = this->clock.now();
    const RunPace command { run.attempt, percent, worker.commandToken };
    this->port.pace(worker.address, command, commandTimeout,
                    [this, id = worker.entry.worker, attempt = run.attempt,
                     isAlive = this->alive](const CommandAnswer &answer) {
                        if (!*isAlive || answer.outcome == CommandOutcome::Done) {
                            return;
                        }
                        Worker *paced = this->find(id);
                        if (paced != nullptr && paced->runs.contains(attempt)) {
                            // The effective pace is unknown. Full speed is assumed, so that a
                            // reduction is sent again.
                            paced->runs.at(attempt).pacePercent = 100;
                        }
                    });
}

void WorkerManager::requestStop(Worker &worker, Run &run)
{
    worker.requestStop(run);
    this->checkSoon(worker);
}

void WorkerManager::sendStops(Worker &worker)
{
    for (auto &[attempt, run] : worker.runs) {
        if (run.stopRequested && !run.commandInFlight) {
            this->sendStop(worker, run);
        }
    }
}

} // namespace bulrush
