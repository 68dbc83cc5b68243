#include "bulrush_steps/workers/RunKeeper.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"
#include "bulrush_steps/policy/RunWatch.h"

#include <algorithm>
#include <set>

namespace bulrush {

namespace {

/** An order that takes longer is taken as unanswered. */
constexpr milliseconds orderTimeout { 700 };

/** Beyond the worker's own waiting time. */
constexpr milliseconds holdTimeout { 700 };

/** Between two holds of a worker that did not answer. */
constexpr milliseconds holdRetryDelay { 100 };

/** A lease is renewed at least this often while ends wait to be stored. */
constexpr milliseconds longestUnstoredWait { 300 };

/** A worker that refused a start gets nothing new for this long. */
constexpr milliseconds refusalPause { 400 };

} // namespace

RunKeeper::RunKeeper(const Clock &systemClock, WorkerOrders &workerPort,
                     const DispatchSettings &dispatchSettings, DecisionLog &decisionLog,
                     Listener &runListener)
    : clock(systemClock)
    , port(workerPort)
    , settings(dispatchSettings)
    , decisions(decisionLog)
    , listener(runListener)
    , living(std::make_shared<bool>(true))
{
}

RunKeeper::~RunKeeper()
{
    *this->living = false;
}

void RunKeeper::begin(std::uint64_t token)
{
    this->fencingToken = token;
}

void RunKeeper::end()
{
    *this->living = false;
    this->living = std::make_shared<bool>(true);
    this->workerTable.clear();
    this->startsWaiting = 0;
}

Worker *RunKeeper::find(const TargetId &worker)
{
    const auto found = this->workerTable.find(worker);
    return found == this->workerTable.end() ? nullptr : &found->second;
}

void RunKeeper::workerListed(const WorkerEntry &entry)
{
    const auto [found, added] = this->workerTable.try_emplace(entry.worker);
    Worker &worker = found->second;
    const bool moved = !added && !(worker.address.endpoint == entry.endpoint);
    const bool reborn = !added && entry.bornAt != worker.entry.bornAt;
    if (!added && entry.draining && !worker.entry.draining) {
        this->decisions.write(
                DecisionLine(Event::WorkerDraining).with("worker", entry.worker.name()));
    }
    worker.entry = entry;
    worker.listed = true;
    worker.address = { entry.worker, entry.endpoint };
    for (const std::string &label : entry.labels) {
        if (label.starts_with("r")) {
            worker.rack = label;
        }
    }
    if (added) {
        this->decisions.write(DecisionLine(Event::WorkerSeen)
                                      .with("worker", entry.worker.name())
                                      .with("address", entry.endpoint.text()));
    }
    if (moved || reborn) {
        worker.confirmed = false;
        worker.nextHoldAt = this->clock.now();
    }
}

void RunKeeper::workerUnlisted(const TargetId &id)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || !worker->listed) {
        return;
    }
    worker->listed = false;
    this->decisions.write(DecisionLine(Event::WorkerGone)
                                  .with("worker", id.name())
                                  .with("runs", static_cast<std::int64_t>(worker->runs.size())));
}

void RunKeeper::tick()
{
    const Instant now = this->clock.now();
    std::vector<TargetId> forgotten;
    for (auto &[id, worker] : this->workerTable) {
        this->dropLapsed(worker);
        if (!worker.listed && worker.runs.empty()) {
            forgotten.push_back(id);
            continue;
        }
        if (!this->listener.mayOrder()) {
            continue;
        }
        if (this->holdIsDue(worker, now)) {
            this->sendHold(worker);
        }
        for (auto &[attempt, run] : worker.runs) {
            if (run.stopWanted && !run.orderInFlight && worker.adopted) {
                this->sendStop(worker, run);
            }
        }
    }
    for (const TargetId &id : forgotten) {
        this->workerTable.erase(id);
    }
}

bool RunKeeper::holdIsDue(const Worker &worker, Instant now) const
{
    if (worker.holdInFlight) {
        return false;
    }
    const bool endsWait = worker.processedEnds > worker.acknowledgedEnds;
    const bool stored = worker.processedChange <= this->listener.storedChange();
    return now >= worker.nextHoldAt || (endsWait && stored && worker.confirmed);
}

std::optional<WorkerMillis> RunKeeper::leaseEnd(Worker &worker)
{
    const std::optional<WorkerMillis> workerNow = worker.clock.clockAt(this->clock.now());
    if (!workerNow) {
        return std::nullopt;
    }
    return *workerNow + this->settings.lease().count();
}

milliseconds RunKeeper::holdWait(const Worker &worker) const
{
    bool serves = false;
    bool fills = false;
    for (const auto &[attempt, run] : worker.runs) {
        serves = serves || run.tailTarget.count() > 0;
        fills = fills || run.fillCpuMilli > 0;
    }
    return serves && fills ? this->settings.holdWaitBesideFills : this->settings.holdWait;
}

void RunKeeper::sendHold(Worker &worker)
{
    WorkerHold order;
    order.fencingToken = this->fencingToken;
    // After trouble the worker may be a new process that numbers its ends anew.
    const bool stored = worker.processedChange <= this->listener.storedChange();
    if (worker.confirmed) {
        order.acknowledgedEnds = stored ? worker.processedEnds : worker.acknowledgedEnds;
        order.leaseEnd = this->leaseEnd(worker);
        const bool endsWait = worker.processedEnds > order.acknowledgedEnds;
        order.wait = endsWait ? milliseconds(0) : this->holdWait(worker);
    }
    if (order.leaseEnd) {
        worker.clock.promised(*order.leaseEnd);
    }
    worker.holdInFlight = true;
    const std::uint64_t number = ++worker.holdNumber;
    const Instant sentAt = this->clock.now();
    this->port.hold(worker.address, order, order.wait + holdTimeout,
                    [this, id = worker.entry.worker, number, sentAt,
                     acknowledged = order.acknowledgedEnds,
                     current = this->living](const HoldAnswer &answer) {
                        if (*current) {
                            this->holdAnswered(id, number, sentAt, acknowledged, answer);
                        }
                    });
}

void RunKeeper::holdAnswered(const TargetId &id, std::uint64_t number, Instant sentAt,
                             std::uint64_t acknowledged, const HoldAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || worker->holdNumber != number) {
        return;
    }
    worker->holdInFlight = false;
    if (answer.outcome == OrderOutcome::Fenced) {
        this->listener.superseded(*worker);
        return;
    }
    if (answer.outcome != OrderOutcome::Done) {
        this->holdFailed(*worker, answer.outcome);
        return;
    }
    const Instant now = this->clock.now();
    if (worker->bornAt != 0 && answer.bornAt != worker->bornAt) {
        this->workerReborn(*worker, answer.bornAt);
        // What the hold acknowledged were ends of the former life.
        acknowledged = 0;
    }
    if (worker->failedHolds > 0 || !worker->adopted) {
        this->decisions.write(
                DecisionLine(Event::WorkerAnswers)
                        .with("worker", id.name())
                        .with("born_ms", answer.bornAt)
                        .with("running", static_cast<std::int64_t>(answer.running.size()))
                        .with("failed_holds", worker->failedHolds));
    }
    worker->bornAt = answer.bornAt;
    worker->failedHolds = 0;
    worker->clock.read(answer.clock, now);
    worker->reportedAt = now;
    worker->acknowledgedEnds = std::max(worker->acknowledgedEnds, acknowledged);
    this->processEnds(*worker, answer);
    this->processRuns(*worker, answer, sentAt);
    worker->adopted = true;
    const bool firstAnswer = !worker->confirmed;
    worker->confirmed = true;
    const bool unstored = worker->processedEnds > worker->acknowledgedEnds;
    const bool waits = unstored && worker->processedChange > this->listener.storedChange();
    worker->nextHoldAt = waits && !firstAnswer ? now + longestUnstoredWait : now;
}

void RunKeeper::holdFailed(Worker &worker, OrderOutcome outcome)
{
    if (worker.failedHolds++ == 0) {
        this->decisions.write(DecisionLine(Event::WorkerSilent)
                                      .with("worker", worker.entry.worker.name())
                                      .with("outcome", text(outcome))
                                      .with("runs", static_cast<std::int64_t>(worker.runs.size())));
    }
    worker.confirmed = false;
    worker.nextHoldAt = this->clock.now() + holdRetryDelay;
}

void RunKeeper::workerReborn(Worker &worker, UnixMillis bornAt)
{
    std::vector<Run> lost;
    for (auto &[attempt, run] : worker.runs) {
        const bool ofFormerLife =
                run.phase == RunPhase::Running && run.confirmedAt <= worker.reportedAt;
        if (ofFormerLife) {
            lost.push_back(run);
        } else if (run.phase == RunPhase::Running) {
            // Started since the last report: perhaps in the new life, whose next report tells.
            run.confirmedAt = this->clock.now();
        }
    }
    this->decisions.write(DecisionLine(Event::WorkerReborn)
                                  .with("worker", worker.entry.worker.name())
                                  .with("born_ms", bornAt)
                                  .with("runs_lost", static_cast<std::int64_t>(lost.size())));
    worker.processedEnds = 0;
    worker.processedChange = 0;
    worker.acknowledgedEnds = 0;
    worker.clock.reset();
    for (const Run &run : lost) {
        this->removeRun(worker, run.attempt);
        this->listener.runLost(worker, run, "the worker's process started anew");
    }
}

void RunKeeper::processEnds(Worker &worker, const HoldAnswer &answer)
{
    for (const ListedEnd &end : answer.ended) {
        if (end.number <= worker.processedEnds) {
            continue;
        }
        worker.processedEnds = end.number;
        const auto found = worker.runs.find(end.attempt);
        const Run *run = found == worker.runs.end() ? nullptr : &found->second;
        if (end.kind == EndKind::Succeeded || end.kind == EndKind::Failed) {
            const milliseconds pause = noteEnd(worker, end.kind == EndKind::Failed);
            if (pause.count() > 0) {
                this->setAside(worker, pause, "runs fail on it");
            }
        }
        const std::uint64_t change = this->listener.runEnded(worker, run, end);
        worker.processedChange = std::max(worker.processedChange, change);
        this->removeRun(worker, end.attempt);
    }
}

void RunKeeper::processRuns(Worker &worker, const HoldAnswer &answer, Instant sentAt)
{
    const Instant now = this->clock.now();
    std::set<AttemptRef> listed;
    for (const ListedRun &each : answer.running) {
        listed.insert(each.attempt);
        auto found = worker.runs.find(each.attempt);
        if (found == worker.runs.end()) {
            Run adopted = this->listener.foundRun(worker, each);
            adopted.phase = RunPhase::Running;
            adopted.confirmedAt = now;
            adopted.progressedAt = now;
            this->addRun(worker, std::move(adopted));
            found = worker.runs.find(each.attempt);
        }
        Run &run = found->second;
        if (run.phase != RunPhase::Running) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
            run.progressedAt = now;
        }
        if (each.percent != run.percent) {
            run.progressedAt = now;
        }
        run.percent = each.percent;
        run.load = each.load;
    }
    std::vector<Run> lost;
    for (const auto &[attempt, run] : worker.runs) {
        const bool answeredBefore = run.phase == RunPhase::Running && run.confirmedAt < sentAt;
        if (answeredBefore && !listed.contains(attempt)) {
            lost.push_back(run);
        }
    }
    for (const Run &run : lost) {
        this->removeRun(worker, run.attempt);
        this->listener.runLost(worker, run, "the worker does not list it");
    }
}

void RunKeeper::dropLapsed(Worker &worker)
{
    if (worker.runs.empty() || worker.confirmed || !this->listener.soleOwner()) {
        return;
    }
    const std::optional<Instant> over = worker.clock.leaseOverAt();
    if (!over || this->clock.now() < *over) {
        return;
    }
    const std::map<AttemptRef, Run> lost = std::move(worker.runs);
    worker.runs.clear();
    worker.committed = Room();
    for (const auto &[attempt, run] : lost) {
        this->listener.runLost(worker, run, "its lease is over");
    }
}

void RunKeeper::start(Worker &worker, Run run, const StepJob &job, std::string checkpoint)
{
    const std::optional<WorkerMillis> end = this->leaseEnd(worker);
    RunStart order;
    order.attempt = run.attempt;
    order.payload = job.payload;
    order.leaseEnd = end.value_or(0);
    order.fencingToken = this->fencingToken;
    order.checkpoint = std::move(checkpoint);
    worker.clock.promised(order.leaseEnd);
    run.phase = RunPhase::Starting;
    run.orderSentAt = this->clock.now();
    run.orderInFlight = true;
    const AttemptRef attempt = run.attempt;
    ++worker.ordersInFlight;
    ++this->startsWaiting;
    this->addRun(worker, std::move(run));
    this->port.start(worker.address, order, orderTimeout,
                     [this, id = worker.entry.worker, attempt,
                      current = this->living](const OrderAnswer &answer) {
                         if (*current) {
                             --this->startsWaiting;
                             this->startAnswered(id, attempt, answer);
                         }
                     });
}

void RunKeeper::startAnswered(const TargetId &id, const AttemptRef &attempt,
                              const OrderAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr) {
        return;
    }
    if (worker->ordersInFlight > 0) {
        --worker->ordersInFlight;
    }
    const Instant now = this->clock.now();
    if (answer.outcome == OrderOutcome::Fenced) {
        this->listener.superseded(*worker);
        return;
    }
    const auto found = worker->runs.find(attempt);
    if (found == worker->runs.end()) {
        return;
    }
    Run &run = found->second;
    run.orderInFlight = false;
    if (answer.outcome == OrderOutcome::Done) {
        if (run.phase != RunPhase::Running) {
            run.phase = RunPhase::Running;
            run.confirmedAt = now;
            run.progressedAt = now;
        }
        return;
    }
    if (answer.outcome == OrderOutcome::Unknown || answer.outcome == OrderOutcome::OtherWorker) {
        run.phase = RunPhase::Unsure;
        run.stopWanted = true;
        worker->avoidUntil = now + refusalPause;
        this->decisions.write(DecisionLine(Event::StartUnanswered)
                                      .with("task", text(attempt.task))
                                      .with("attempt", attempt.attempt)
                                      .with("worker", id.name()));
        return;
    }
    const Run refused = run;
    this->removeRun(*worker, attempt);
    worker->avoidUntil = now + refusalPause;
    this->listener.startRefused(*worker, refused, answer.outcome);
}

void RunKeeper::sendStop(Worker &worker, Run &run)
{
    run.orderInFlight = true;
    const RunStop order { run.attempt, this->fencingToken };
    this->port.stop(worker.address, order, orderTimeout,
                    [this, id = worker.entry.worker, attempt = run.attempt,
                     current = this->living](const OrderAnswer &answer) {
                        if (*current) {
                            this->stopAnswered(id, attempt, answer);
                        }
                    });
}

void RunKeeper::stopAnswered(const TargetId &id, const AttemptRef &attempt,
                             const OrderAnswer &answer)
{
    Worker *worker = this->find(id);
    if (worker == nullptr) {
        return;
    }
    if (answer.outcome == OrderOutcome::Fenced) {
        this->listener.superseded(*worker);
        return;
    }
    const auto found = worker->runs.find(attempt);
    if (found == worker->runs.end()) {
        return;
    }
    Run &run = found->second;
    const bool done = answer.outcome == OrderOutcome::Done;
    run.orderInFlight = done;
    if (done && run.phase != RunPhase::Running) {
        // From now on the worker refuses this attempt: what it does not list is not alive.
        run.phase = RunPhase::Running;
        run.confirmedAt = this->clock.now();
        worker->nextHoldAt = this->clock.now();
    }
}

void RunKeeper::setAside(Worker &worker, milliseconds span, std::string_view reason)
{
    worker.avoidUntil = std::max(worker.avoidUntil, this->clock.now() + span);
    this->decisions.write(DecisionLine(Event::WorkerSetAside)
                                  .with("worker", worker.entry.worker.name())
                                  .with("for_ms", span.count())
                                  .with("failure_share", worker.failureShare)
                                  .with("reason", reason));
}

void RunKeeper::pace(Worker &worker, Run &run, std::uint32_t percent)
{
    run.pacePercent = percent;
    // It could not progress meanwhile, or from now on.
    run.progressedAt = this->clock.now();
    const RunPace order { run.attempt, percent, this->fencingToken };
    this->port.pace(worker.address, order, orderTimeout,
                    [this, id = worker.entry.worker, attempt = run.attempt,
                     current = this->living](const OrderAnswer &answer) {
                        if (!*current || answer.outcome == OrderOutcome::Done) {
                            return;
                        }
                        Worker *paced = this->find(id);
                        if (paced != nullptr && paced->runs.contains(attempt)) {
                            // Unknown: as fast as it may be, so that it is paced again.
                            paced->runs.at(attempt).pacePercent = 100;
                        }
                    });
}

void RunKeeper::addRun(Worker &worker, Run run)
{
    worker.committed += run.size;
    worker.runs.emplace(run.attempt, std::move(run));
}

void RunKeeper::removeRun(Worker &worker, const AttemptRef &attempt)
{
    const auto found = worker.runs.find(attempt);
    if (found == worker.runs.end()) {
        return;
    }
    worker.committed -= found->second.size;
    worker.runs.erase(found);
}

void RunKeeper::eachRun(const JobId &job, const std::function<void(Worker &, Run &)> &visit)
{
    for (auto &[id, worker] : this->workerTable) {
        const AttemptRef first { { job, 0, 0, 0 }, 0 };
        for (auto at = worker.runs.lower_bound(first);
             at != worker.runs.end() && at->first.task.job == job; ++at) {
            visit(worker, at->second);
        }
    }
}

} // namespace bulrush
