#include "bulrush_node/control/ControlTask.h"

#include "bulrush_node/groups/WorkDurations.h"
#include "bulrush_node/operators/OperatorAnswers.h"
#include "bulrush_node/operators/WorkAnswers.h"

#include <random>

namespace bulrush {

namespace {

HttpResponse startingAnswer()
{
    return OperatorsApi::error(503, "the node is starting: no records are in force yet");
}

constexpr Duration vmListPeriod = seconds(1);

/** Time after which the end of a job is appended again if it was not read back from the log. */
constexpr Duration jobEndRetryPeriod = seconds(5);

MeshSettings meshSettings(const NodeSettings &settings)
{
    MeshSettings mesh;
    mesh.node = settings.node;
    mesh.dataCentre = settings.dataCentre;
    mesh.key = settings.peerKey;
    mesh.listen = settings.peersListen;
    mesh.heartbeat = settings.times.heartbeat;
    mesh.linkTimeout = settings.times.peerLost;
    for (const PeerSettings &peer : settings.peers) {
        mesh.peers.push_back({ peer.node, peer.dataCentre, peer.endpoint });
    }
    return mesh;
}

/** Returns a name that is unique for each start of each node. */
std::string processName(const NodeId &node, const Clock &clock)
{
    const auto calendar = static_cast<unsigned long long>(clock.calendarTime());
    return node.name() + "." + std::to_string(calendar) + "."
            + std::to_string(std::random_device()());
}

KeyClaimSettings keyClaimSettings(const NodeSettings &settings, std::string_view process)
{
    KeyClaimSettings result;
    result.process = process;
    result.times.lifetime = settings.times.keyLifetime;
    result.times.clockAllowance = duration_cast<seconds>(settings.times.clockAllowance);
    result.poll = settings.times.logPoll;
    return result;
}

GroupManagerSettings groupManagerSettings(const NodeSettings &settings, std::string_view process)
{
    GroupManagerSettings result;
    result.node = settings.node;
    result.dataCentre = settings.dataCentre;
    result.process = process;
    result.durations = durationsOf(settings);
    result.poll = settings.times.logPoll;
    return result;
}

} // namespace

ControlTask::ControlTask(EventLoop &owningLoop, const Clock &runtimeClock,
                         const NodeSettings &nodeSettings, NodeMetrics &nodeMetrics,
                         EventLog &eventLog, std::function<void(FrontMessage)> sendToFront,
                         std::function<void()> stopFunction)
    : loop(owningLoop)
    , clock(runtimeClock)
    , settings(nodeSettings)
    , metrics(nodeMetrics)
    , events(eventLog)
    , toFront(std::move(sendToFront))
    , stop(std::move(stopFunction))
    , process(processName(nodeSettings.node, runtimeClock))
    , platform(owningLoop, nodeSettings.platform)
    , records(owningLoop, runtimeClock, this->platform, nodeSettings.node,
              nodeSettings.times.logPoll, eventLog, *this)
    , mesh(owningLoop, runtimeClock, meshSettings(nodeSettings), nodeMetrics, eventLog, *this)
    , keyClaims(owningLoop, runtimeClock, this->platform,
                keyClaimSettings(nodeSettings, this->process), nodeMetrics,
                [this](KeyClaimResult verdict) { this->toFront(std::move(verdict)); })
    , workers(owningLoop, durationsOf(nodeSettings).exchangeTimeout)
    , groupManager(
              { &owningLoop, &runtimeClock, &this->platform, &this->workers, &nodeMetrics,
                &eventLog },
              groupManagerSettings(nodeSettings, this->process),
              [this](const std::string &name, const JobId &run) { this->recordJobEnd(name, run); })
    , operators(owningLoop, nodeSettings.operators, nodeSettings.operatorsKey)
    , startedAt(runtimeClock.now())
{
    this->bindOperatorCommands();
}

void ControlTask::start()
{
    this->records.start();
    this->mesh.start();
    this->keyClaims.start();
    this->groupManager.start();
    this->pollVms();
    this->events.write(Event::NodeStarted, this->settings.callers.text(),
                       "data centre " + this->settings.dataCentre.name());
}

void ControlTask::handle(const FrontReport &message)
{
    if (const auto *claim = std::get_if<KeyClaim>(&message)) {
        this->keyClaims.claim(*claim);
    } else if (const auto *end = std::get_if<KeyedRequestEnd>(&message)) {
        this->keyClaims.end(*end);
    } else {
        this->events.write(Event::NodeStopped, "", "");
        this->stop();
    }
}

void ControlTask::drain()
{
    if (this->draining) {
        return;
    }
    this->draining = true;
    this->events.write(Event::NodeStopping, "", "");
    this->mesh.setDraining();
    this->updateWorkNodes();
    this->toFront(DrainFront { this->settings.drainBound });
}

//==============================================================================
void ControlTask::recordsChanged()
{
    this->metrics.set("bulrush_records_offset", double(this->records.state().nextOffset()));
    this->groupManager.updateRecords(this->records.state());
    this->configureFront();
}

void ControlTask::logAvailabilityChanged(bool available)
{
    this->metrics.set("bulrush_log_available", available ? 1 : 0);
}

void ControlTask::configureFront()
{
    if (!this->records.isUsable()) {
        return;
    }
    FrontConfiguration configuration = this->frontConfiguration();
    if (this->lastFrontConfiguration == configuration) {
        return;
    }
    this->lastFrontConfiguration = configuration;
    this->toFront(std::move(configuration));
}

FrontConfiguration ControlTask::frontConfiguration() const
{
    FrontConfiguration configuration;
    for (const Record *record : this->records.state().inForce(RecordKind::Service)) {
        const ServiceBody body = readServiceBody(*record);
        FrontService &service = configuration.services[ServiceId(record->name)];
        service.deadline = body.deadline;
        for (const ServiceTarget &target : body.targets) {
            service.targets.push_back({ target.target, target.dataCentre, target.endpoint,
                                        static_cast<unsigned>(target.slots) });
        }
    }
    for (const Record *record : this->records.state().inForce(RecordKind::Targets)) {
        for (const TargetId &target : readTargetsBody(*record).leaving) {
            configuration.leavingByRecord.insert(target);
        }
    }
    for (const VmEntry &vm : this->vms) {
        if (vm.state != VmState::Live) {
            configuration.leavingByPlatform.insert(TargetId(vm.vm.name()));
        }
    }
    configuration.unreachable = this->mesh.unreachableDataCentres();
    configuration.nodes = this->mesh.liveNodes();
    return configuration;
}

//==============================================================================
std::optional<std::vector<LogEntry>> ControlTask::recordsFrom(LogOffset from) const
{
    return this->records.entriesFrom(from);
}

std::string ControlTask::exportState() const
{
    return this->records.isUsable() ? this->records.state().exportText() : std::string();
}

void ControlTask::recordsFromPeer(const NodeId &peer, const std::vector<LogEntry> &entries)
{
    this->records.applyPeerEntries(peer, entries);
}

void ControlTask::stateFromPeer(const NodeId &peer, std::string_view state)
{
    this->records.applyPeerState(peer, state);
}

void ControlTask::peersChanged()
{
    this->configureFront();
    this->updateWorkNodes();
}

//==============================================================================
void ControlTask::updateWorkNodes()
{
    std::set<NodeId> nodes;
    if (!this->draining) {
        nodes.insert(this->settings.node);
    }
    for (const auto &[node, view] : this->mesh.peers()) {
        if (view.dataCentre == this->settings.dataCentre && view.connected && !view.draining) {
            nodes.insert(node);
        }
    }
    this->groupManager.updateNodes(nodes);
}

void ControlTask::recordJobEnd(const std::string &name, const JobId &run)
{
    const Record *record = this->records.state().find(RecordKind::Job, name);
    if (record == nullptr) {
        record = this->records.state().find(RecordKind::Watcher, name);
    }
    const Instant now = this->clock.now();
    std::erase_if(this->jobEndSentAt,
                  [now](const auto &sent) { return sent.second + jobEndRetryPeriod <= now; });
    if (record == nullptr || !this->jobEndSentAt.emplace(run, now).second) {
        return;
    }
    const JobOutcome outcome = this->groupManager.jobRegistry().isCancelled(run)
            ? JobOutcome::Cancelled
            : JobOutcome::Finished;
    // All nodes derive the same id, so that the end is recorded only once. No other run has this
    // id, as a record is in force during one run only.
    const std::string id = "done-" + record->id;
    const Record done = jobDoneRecord(*record, id, this->settings.node, outcome);
    this->platform.append("records", done.text(), [](std::optional<LogOffset>) {});
}

//==============================================================================
void ControlTask::pollVms()
{
    this->platform.readVms([this](const std::optional<std::vector<VmEntry>> &list) {
        if (list) {
            this->updateVms(*list);
        }
        this->loop.schedule(vmListPeriod, [this] { this->pollVms(); });
    });
}

void ControlTask::updateVms(const std::vector<VmEntry> &list)
{
    this->vms = list;
    this->workers.updateVms(list);
    this->groupManager.updateVms(list);
    this->configureFront();
}

//==============================================================================
void ControlTask::bindOperatorCommands()
{
    using Parts = std::vector<std::string>;
    using Reply = OperatorsApi::Reply;
    this->operators.bind("GET", "status",
                         [this](const HttpRequest &, const Parts &, const Reply &reply) {
                             reply(OperatorsApi::json(200, this->statusText()));
                         });
    this->operators.bind("GET", "metrics",
                         [this](const HttpRequest &, const Parts &, const Reply &reply) {
                             HttpResponse response = OperatorsApi::json(200, this->metrics.text());
                             response.contentType = "text/plain; version=0.0.4";
                             reply(std::move(response));
                         });
    this->operators.bind(
            "GET", "records", [this](const HttpRequest &, const Parts &rest, const Reply &reply) {
                reply(this->records.isUsable() ? recordsAnswer(this->records.state(), rest)
                                               : startingAnswer());
            });
    this->operators.bind(
            "GET", "history", [this](const HttpRequest &, const Parts &rest, const Reply &reply) {
                reply(this->records.isUsable() ? historyAnswer(this->records.state(), rest)
                                               : startingAnswer());
            });
    this->operators.bind(
            "GET", "verdicts", [this](const HttpRequest &, const Parts &rest, const Reply &reply) {
                reply(verdictAnswer(rest.empty() ? nullptr
                                                 : this->records.verdictOf(rest.front())));
            });
    this->operators.bind("GET", "audit",
                         [this](const HttpRequest &, const Parts &, const Reply &reply) {
                             reply(auditAnswer(this->records.audit()));
                         });
    this->operators.bind("GET", "explain",
                         [this](const HttpRequest &, const Parts &rest, const Reply &reply) {
                             reply(explainAnswer(this->groupManager, this->records.state(), rest));
                         });
    this->operators.bind("POST", "records",
                         [this](const HttpRequest &request, const Parts &, const Reply &reply) {
                             this->publish(request, reply);
                         });
    this->operators.bind("POST", "drain",
                         [this](const HttpRequest &, const Parts &, const Reply &reply) {
                             this->drain();
                             reply(OperatorsApi::json(202, R"({"draining":true})"));
                         });
}

void ControlTask::publish(const HttpRequest &request, const OperatorsApi::Reply &reply)
{
    const CheckedRecord checked = checkRecord(request.body);
    if (checked.problem) {
        reply(OperatorsApi::error(400, checked.problem->text()));
        return;
    }
    const std::string id = checked.record->id;
    this->metrics.count("bulrush_log_appends_total");
    this->platform.append("records", request.body,
                          [this, reply, id](std::optional<LogOffset> offset) {
                              if (!offset) {
                                  this->metrics.count("bulrush_log_append_failures_total");
                              }
                              reply(publishAnswer(id, offset));
                          });
}

std::string ControlTask::statusText() const
{
    StatusView view;
    view.node = this->settings.node;
    view.dataCentre = this->settings.dataCentre;
    view.draining = this->draining;
    view.uptime = this->clock.now() - this->startedAt;
    view.recordsNext = this->records.state().nextOffset();
    view.recordsUsable = this->records.isUsable();
    view.logAvailable = this->records.logAvailable();
    view.peers = &this->mesh.peers();
    view.vms = &this->vms;
    view.groups = groupsJson(this->groupManager);
    view.now = this->clock.now();
    return statusJson(view, this->lastFrontConfiguration);
}

} // namespace bulrush
