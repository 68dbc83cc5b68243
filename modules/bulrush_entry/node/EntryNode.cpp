#include "bulrush_entry/node/EntryNode.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

/** Interval of tick() on a node that sends orders to the workers or is taking over. */
constexpr milliseconds tickInterval { 10 };

/** Interval of tick() on any other node. */
constexpr milliseconds idleTickInterval { 50 };

/** Interval at which an owner logs its load. */
constexpr milliseconds loadReportInterval { 1000 };

/** How long the store holds a long poll for a newer configuration. */
constexpr milliseconds configPollWait { 1000 };

/** Paths of the operators' interface. */
constexpr std::string_view metricsPath = "/metrics";
constexpr std::string_view statusPath = "/v1/status";
constexpr std::string_view explainPath = "/v1/explain/job/";

constexpr HttpServer::Limits operatorLimits { 64U << 10U, 32, {} };
constexpr HttpServer::Limits readinessLimits { 4U << 10U, 64, {} };

std::int64_t percentOf(std::int64_t part, std::int64_t whole)
{
    constexpr std::int64_t percent = 100;
    return whole == 0 ? 0 : part * percent / whole;
}

std::int64_t toMillis(Duration span)
{
    return duration_cast<milliseconds>(span).count();
}

/** Returns the share of jobs that end within their late limits, by queue that is judged. */
std::map<std::string, double> servedShares(const std::vector<QueueReport> &queues)
{
    std::map<std::string, double> shares;
    for (const QueueReport &queue : queues) {
        if (queue.state != QueueState::NotJudged) {
            shares[queue.queue] = queue.all.servedShare();
        }
    }
    return shares;
}

} // namespace

EntryNode::EntryNode(EventLoop &eventLoop, const Clock &systemClock,
                     const EntrySettings &entrySettings, EntryPorts entryPorts,
                     JsonDecisionLog &decisionLog)
    : loop(eventLoop)
    , clock(systemClock)
    , settings(entrySettings)
    , name { entrySettings.peers, static_cast<std::uint64_t>(systemClock.calendarMillis()),
             entrySettings.node.name(), entrySettings.milliCores() }
    , ports(entryPorts)
    , decisions(decisionLog)
    , health(systemClock, decisionLog)
    , store(systemClock, entryPorts.log, entryPorts.group, this->health, this->metrics, decisionLog)
    , orders(systemClock, entryPorts.workers, this->metrics)
    , config(systemClock, this->store, entryPorts.decoder, decisionLog, configPollWait,
             [this] { this->configChanged(); })
    , view(systemClock, this->store, decisionLog)
    , workers(systemClock, this->store, entryPorts.decoder, entrySettings.workerHeartbeat,
              decisionLog, *this)
    , dispatcher(systemClock, this->orders, entryPorts.processes, this->store,
                 entrySettings.dispatch, decisionLog, *this)
    , ownership(systemClock, this->store, this->name.text(), entrySettings.ownershipTimes(),
                decisionLog, *this)
    , takeover(systemClock, this->store, this->view, decisionLog)
    , owner(eventLoop, systemClock, this->store, this->dispatcher, this->name, *this)
    , requestHandler(systemClock, this->store, entryPorts.decoder, this->owner, this->view,
                     this->health, decisionLog, JobAdmission(systemClock, entrySettings.memoryMb))
    , callers(eventLoop, entrySettings.callers,
              callerLimits(entrySettings, entryPorts.callers.headerNames()), *this)
    , limitReport(this->callers, this->metrics, decisionLog)
    , readiness(eventLoop, entrySettings.readiness, readinessLimits, *this,
                &EntryNode::readinessResponse)
    , operators(eventLoop, entrySettings.operators, operatorLimits, *this,
                &EntryNode::operatorResponse)
{
    if (this->settings.dispatch.hasEvacuations()) {
        this->config.followEvacuations(this->settings.dataCentres);
        this->dispatcher.followEvacuations(this->config.evacuations());
    }
    this->connectAppends();
    this->startedAt = this->clock.now();
    this->nextTickAt = this->startedAt;
    this->decisions.write(DecisionLine(Event::NodeStarted)
                                  .with("data_centre", this->settings.dataCentre.name())
                                  .with("callers", this->settings.callers.text())
                                  .with("store", this->settings.store.text()));
    this->loop.schedule(Duration::zero(), [this] { this->tick(); });
}

void EntryNode::tick()
{
    this->recordTickDelay();
    this->config.tick();
    this->ownership.tick();
    this->takeover.tick();
    this->owner.tick();
    this->followStoreSpeed();
    this->requestHandler.tick();
    this->health.checkLost();
    if (this->isOwnerOrTakesOver()) {
        this->workers.tick();
    }
    if (this->dispatcher.active()) {
        this->followJobs();
        this->dispatcher.tick();
    }
    this->owner.askFormerOwners(this->dispatcher.formerOwnersToAsk(),
                                this->ownership.fencingToken());
    this->refreshStandbyView();
    if (this->drainSchedule) {
        this->drainTick();
    }
    this->reportOwnerLoad();
    this->limitReport.tick(this->clock.now());
    this->decisions.flush();
    const milliseconds interval = this->isOwnerOrTakesOver() ? tickInterval : idleTickInterval;
    this->nextTickAt = this->clock.now() + interval;
    this->loop.schedule(interval, [this] { this->tick(); });
}

void EntryNode::connectAppends()
{
    CallerAppends &appends = this->requestHandler.callerAppends();
    appends.handOverTo(this->owner);
    this->owner.appendWith([&appends](HandedRecord record, RecordCarrier::Callback reply) {
        appends.addRelayed(std::move(record), std::move(reply));
    });
    this->owner.onSlowStore([&appends] { appends.noteSlowStore(); });
}

void EntryNode::followStoreSpeed()
{
    CallerAppends &appends = this->requestHandler.callerAppends();
    if (this->store.takeSlowSign()) {
        appends.noteSlowStore();
        this->owner.announceSlowStore();
    }
}

void EntryNode::recordTickDelay()
{
    const Duration delay = std::max(Duration::zero(), this->clock.now() - this->nextTickAt);
    this->metrics.recordTickDelay(delay);
    this->longestTickDelay = std::max(this->longestTickDelay, delay);
}

void EntryNode::reportOwnerLoad()
{
    const Instant now = this->clock.now();
    if (!this->dispatcher.active() || now < this->nextLoadReport) {
        return;
    }
    this->nextLoadReport = now + loadReportInterval;
    const DispatchLoad load = this->dispatcher.load();
    const PlanLoad before = std::exchange(this->reportedPlan, load.plan);
    const ReservationCounts reservations = load.plan.reservations.since(before.reservations);
    const LapsedRunCounts lapsedRuns =
            load.lapsedRuns.since(std::exchange(this->reportedLapsedRuns, load.lapsedRuns));
    const auto lateMillis = toMillis(this->longestTickDelay);
    this->longestTickDelay = Duration::zero();
    this->decisions.write(
            DecisionLine(Event::OwnerLoad)
                    .with("late_ms", lateMillis)
                    .with("starts_open", load.openStarts)
                    .with("waiting_jobs", load.plan.waitingJobs)
                    .with("waiting_fills", load.plan.waitingFills)
                    .with("unplaced_steps", load.plan.unplacedSteps)
                    .with("reserved_workers", load.plan.reservedWorkers)
                    .with("reservations_made", reservations.made)
                    .with("reservations_used", reservations.used)
                    .with("reservations_lapsed", reservations.lapsed)
                    .with("reservations_dropped", reservations.dropped)
                    .with("unsent_starts", load.unsentStarts)
                    .with("leaving_workers", load.leavingWorkers)
                    .with("runs", load.runs)
                    .with("lapsed_runs", lapsedRuns.all())
                    .with("free_cpu", percentOf(load.free.cpuMilli, load.capacity.cpuMilli))
                    .with("long_cpu", percentOf(load.longRunningCpuMilli, load.capacity.cpuMilli))
                    .with("ending_cpu", percentOf(load.endingCpuMilli, load.capacity.cpuMilli))
                    .with("free_memory", percentOf(load.free.memoryMb, load.capacity.memoryMb))
                    .with("starts", load.plan.starts - before.starts)
                    .with("rounds", load.plan.rounds - before.rounds)
                    .with("planning_ms", toMillis(load.plan.time() - before.time()))
                    .with("planning_reserving_ms",
                          toMillis(load.plan.reservingTime - before.reservingTime))
                    .with("planning_filling_ms",
                          toMillis(load.plan.fillingTime - before.fillingTime)));
    this->metrics.recordReservations(reservations);
    this->metrics.recordLapsedRuns(lapsedRuns);
    const WorkerProcessCounts processesBefore =
            std::exchange(this->reportedProcesses, load.workerProcesses);
    this->metrics.recordWorkerProcesses(load.workerProcesses.since(processesBefore));
    this->reportEvacuation(load.evacuation);
    this->metrics.setWaitingSteps(load.plan.waits);
    this->reportWaits("reserving", load.plan.reservingWaits);
    this->reportWaits("filling", load.plan.fillingWaits);
    this->metrics.setServedShares(servedShares(load.queues));
}

void EntryNode::configChanged()
{
    this->requestHandler.configure(*this->config.config());
    this->dispatcher.configure(*this->config.config());
    this->limitReport.configure(*this->config.config());
}

bool EntryNode::ready()
{
    return !this->drainSchedule && this->requestHandler.configured() && !this->health.checkLost();
}

void EntryNode::requestArrived(HttpServer::RequestId id, HttpRequest request)
{
    if (this->drainSchedule) {
        this->followDrain();
    }
    const CallerRequest decoded = this->ports.callers.decode(request);
    // The decoded request has a copy; two copies of a body beside its JSON values are not needed.
    request = {};
    ++this->arrivedRequests;
    this->lastRequestAt = this->clock.now();
    this->openRequests[id] = { decoded.kind, this->lastRequestAt };
    this->requestHandler.serve(
            decoded, [this, id](const CallerAnswer &answer) { this->sendAnswer(id, answer); });
}

EntryNode::SeparateServer::SeparateServer(EventLoop &eventLoop, const Endpoint &endpoint,
                                          const HttpServer::Limits &limits, EntryNode &owningNode,
                                          Handler requestHandler)
    : node(owningNode)
    , handler(requestHandler)
    , server(eventLoop, endpoint, limits, *this)
{
}

void EntryNode::SeparateServer::requestArrived(HttpServer::RequestId id, HttpRequest request)
{
    this->server.respond(id, (this->node.*this->handler)(request));
}

HttpResponse EntryNode::readinessResponse(const HttpRequest &request)
{
    HttpResponse response;
    if (this->ports.callers.isReadinessRequest(request)) {
        response.status = this->ready() ? 200 : 503;
    } else {
        response.status = 404;
    }
    return response;
}

NodeStatus EntryNode::status()
{
    NodeStatus status;
    status.node = this->settings.node.name();
    status.dataCentre = this->settings.dataCentre.name();
    status.uptime = this->clock.now() - this->startedAt;
    status.ready = this->ready();
    status.draining = this->drainSchedule.has_value();
    status.owner = this->dispatcher.active();
    status.fencingToken = this->ownership.fencingToken();
    status.configVersion = this->config.config() ? this->config.config()->version : 0;
    status.evacuations = this->config.evacuations().all();
    status.now = this->clock.now();
    status.storeLost = this->health.checkLost();
    status.storeSilence = this->clock.now() - this->health.lastAnswerAt();
    return status;
}

HttpResponse EntryNode::operatorResponse(const HttpRequest &request)
{
    HttpResponse response;
    if (request.method == "GET" && request.path == metricsPath) {
        this->metrics.setDroppedLines(this->decisions.droppedLines());
        this->metrics.setAppends(this->requestHandler.callerAppends().counts());
        response.contentType = "text/plain; version=0.0.4";
        response.body = this->metrics.text();
        return response;
    }
    if (request.method == "GET" && request.path == statusPath) {
        response.body = statusJson(this->status(), this->dispatcher);
        return response;
    }
    if (request.method == "GET" && request.path.starts_with(explainPath)) {
        const JobId job(request.path.substr(explainPath.size()));
        const bool owns = this->dispatcher.active();
        const StepJobTable &table = owns ? this->dispatcher.jobs() : this->view.jobTable();
        const std::optional<std::string> text = explainJson(job, table, this->dispatcher);
        response.status = text ? 200 : 404;
        response.body = text.value_or(R"({"error":"the job is not known here; ask the owner"})");
        return response;
    }
    response.status = 404;
    return response;
}

void EntryNode::sendAnswer(HttpServer::RequestId id, const CallerAnswer &answer)
{
    const auto found = this->openRequests.find(id);
    if (found == this->openRequests.end()) {
        // The caller has left; this releases the memory that its request had reserved.
        this->callers.respond(id, {});
        return;
    }
    const Duration elapsed = this->clock.now() - found->second.arrivedAt;
    this->metrics.recordCallerRequest(found->second.kind, answer.outcome, elapsed);
    this->openRequests.erase(found);
    HttpResponse response = this->ports.callers.encode(answer);
    if (this->drainSchedule) {
        // The caller's next connection goes to another node.
        response.headers.push_back({ "connection", "close" });
    }
    this->callers.respond(id, std::move(response));
}

void EntryNode::clientDisconnected(HttpServer::RequestId id)
{
    this->openRequests.erase(id);
}

void EntryNode::settingsRead(std::string_view outcome)
{
    this->decisions.write(DecisionLine(Event::SettingsRead).with("outcome", outcome));
}

void EntryNode::drain()
{
    if (this->drainSchedule) {
        return;
    }
    this->drainSchedule.emplace(this->settings.gracePeriod, this->clock.now());
    this->decisions.write(
            DecisionLine(Event::NodeStopping)
                    .with("open_requests", static_cast<std::int64_t>(this->openRequests.size())));
    this->ownership.leave();
}

DrainStep EntryNode::followDrain()
{
    const CallerActivity activity { this->callers.openRequests(), this->lastRequestAt };
    const DrainStep step = this->drainSchedule->stepAt(this->clock.now(), activity);
    this->requestHandler.drain(step);
    return step;
}

void EntryNode::drainTick()
{
    if (this->ending || this->followDrain() != DrainStep::Stop) {
        return;
    }
    this->ending = true;
    this->loop.stopWhen([this, seen = this->callerEvents()]() mutable {
        const std::uint64_t before = std::exchange(seen, this->callerEvents());
        return this->mayEnd(before == seen);
    });
}

std::uint64_t EntryNode::callerEvents() const
{
    return this->callers.acceptedConnections() + this->arrivedRequests;
}

bool EntryNode::mayEnd(bool quiet)
{
    // A request that is read in the last pass would be cut off in the middle of its answer.
    const bool answered = quiet && this->callers.openRequests() == 0;
    if (!answered && this->clock.now() < this->drainSchedule->latestEnd()) {
        return false;
    }
    this->decisions.write(
            DecisionLine(Event::NodeStopped).with("open_requests", this->callers.openRequests()));
    this->decisions.flush();
    return true;
}

} // namespace bulrush
