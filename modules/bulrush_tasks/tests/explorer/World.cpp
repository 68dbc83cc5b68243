#include "World.h"

namespace bulrush::explorer {

namespace {

constexpr Duration stepLength = milliseconds(200);
constexpr Duration listPeriod = seconds(1);
constexpr std::size_t maxTraceLines = 400;

} // namespace

Durations shortDurations()
{
    Durations durations;
    durations.lease = seconds(4);
    durations.exchangePeriod = seconds(1);
    durations.exchangeTimeout = milliseconds(800);
    durations.transit = seconds(1);
    durations.renewalHorizon = seconds(6);
    durations.clockAllowance = seconds(1);
    durations.silence = seconds(3);
    durations.listLag = seconds(3);
    durations.appendTimeout = milliseconds(600);
    durations.batchInterval = milliseconds(200);
    durations.operationInterval = milliseconds(200);
    durations.checkpointWait = seconds(2);
    durations.dropInterval = seconds(3);
    durations.returnAfter = seconds(5);
    durations.snapshotInterval = seconds(8);
    durations.retention = seconds(60);
    durations.longestOutage = seconds(6);
    return durations;
}

World::World(const WorldOptions &worldOptions)
    : options(worldOptions)
    , generator(worldOptions.seed)
{
    for (const std::string &name : this->options.groups) {
        this->groups.emplace_back(name);
    }
    for (const std::string &name : this->options.nodes) {
        const NodeId id(name);
        this->nodes[id] = std::make_unique<FakeNode>(id, this->options.durations,
                                                     this->options.guards, this->groups);
        this->nodes[id]->clockRatePpm = static_cast<std::int64_t>(this->random(16000)) - 8000;
    }
}

std::uint64_t World::random(std::uint64_t bound)
{
    return this->generator() % bound;
}

void World::addTrace(const std::string &line)
{
    const auto at = duration_cast<milliseconds>(this->now - this->start).count();
    this->traceLines.push_back(std::to_string(at) + "ms " + line);
    if (this->traceLines.size() > maxTraceLines) {
        this->traceLines.erase(this->traceLines.begin(),
                               this->traceLines.begin() + maxTraceLines / 2);
    }
}

//==============================================================================
VmId World::addWorker(const GroupId &group, const Resources &capacity)
{
    VmId id("w" + std::to_string(++this->workerCount));
    WorkerEntry &entry = this->workers[id];
    entry.fake = std::make_unique<FakeWorker>(id, capacity, this->invariantChecker,
                                              this->options.workerGuards);
    entry.group = group;
    entry.addedAt = this->now;
    std::size_t index = 0;
    while (this->groups[index] != group) {
        ++index;
    }
    entry.dataCentre = this->options.dataCentres[index % this->options.dataCentres.size()];
    this->addTrace("VM " + id.name() + " joins " + group.name());
    return id;
}

void World::addJob(const JobSpec &spec)
{
    this->jobs.add(spec);
}

void World::cancelJob(const JobId &job)
{
    this->addTrace("cancel " + job.name());
    this->jobs.cancel(job);
}

void World::assign(const GroupId &group, const NodeId &node)
{
    this->addTrace(node.name() + " takes " + group.name());
    this->nodes.at(node)->setOwnershipWanted(group, true);
}

void World::killNode(const NodeId &node)
{
    this->addTrace("kill node " + node.name());
    this->nodes.at(node)->alive = false;
}

void World::restartNode(const NodeId &node)
{
    this->addTrace("restart node " + node.name());
    this->nodes.at(node)->restart();
}

void World::pauseNode(const NodeId &node, Duration span)
{
    this->addTrace("pause node " + node.name() + " for "
                   + std::to_string(duration_cast<milliseconds>(span).count()) + "ms");
    this->nodes.at(node)->pausedUntil = this->now + span;
}

void World::killWorker(const VmId &worker)
{
    this->addTrace("VM " + worker.name() + " dies");
    this->workers.at(worker).killedAt = this->now;
    this->workers.at(worker).fake->kill();
}

void World::restartWorker(const VmId &worker)
{
    this->addTrace("worker " + worker.name() + " restarts");
    this->workers.at(worker).fake->restart();
}

void World::setWorkerLeaving(const VmId &worker)
{
    this->addTrace("VM " + worker.name() + " is leaving");
    this->workers.at(worker).fake->setLeaving();
}

void World::setSilent(const VmId &worker, bool isSilent)
{
    this->addTrace("worker " + worker.name()
                   + (isSilent ? " becomes unreachable" : " becomes reachable"));
    this->workers.at(worker).silent = isSilent;
}

void World::setLinkBroken(const NodeId &node, const VmId &worker, bool broken)
{
    this->addTrace("link " + node.name() + '-' + worker.name() + (broken ? " breaks" : " works"));
    if (broken) {
        this->brokenLinks.insert({ node, worker });
    } else {
        this->brokenLinks.erase({ node, worker });
    }
}

void World::setUnlisted(const VmId &worker, bool isUnlisted)
{
    this->workers.at(worker).unlisted = isUnlisted;
}

void World::evict(const TaskId &task)
{
    this->addTrace("evict " + task.text());
    for (auto &[id, node] : this->nodes) {
        for (const GroupId &group : this->groups) {
            node->owner(group).evict(task, this->nodeTime(*node));
        }
    }
}

//==============================================================================
void World::run(Duration span)
{
    const Instant end = this->now + span;
    while (this->now < end) {
        this->step();
    }
}

void World::step()
{
    this->now += stepLength;
    for (auto &[id, entry] : this->workers) {
        const std::int64_t drift = stepLength.count() / 1'000'000 * entry.clockRatePpm;
        entry.fake->advance(stepLength + Duration(drift));
    }
    this->runDueEvents();
    this->tickNodes();
    this->log.truncate(this->now, this->options.durations.retention);
}

void World::runDueEvents()
{
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
        const std::function<void()> event = std::move(this->events.begin()->second);
        this->events.erase(this->events.begin());
        event();
    }
}

void World::tickNodes()
{
    const bool listDue = this->now - this->listSentAt >= listPeriod;
    for (auto &[id, node] : this->nodes) {
        if (!node->alive || node->pausedUntil > this->now) {
            continue;
        }
        this->readLog(*node);
        if (listDue && this->canReachLog(*node)) {
            this->sendVmList(*node);
        }
        for (const Action &action : node->tick(this->nodeTime(*node), this->jobs)) {
            this->perform(*node, action);
        }
        if (this->renewing) {
            std::vector<RenewalTarget> targets;
            for (const auto &[vm, entry] : this->workers) {
                targets.push_back({ vm, entry.group });
            }
            for (const ExchangeAction &action : node->renew(this->nodeTime(*node), targets)) {
                this->exchange(*node, action, true);
            }
        }
    }
    this->listSentAt = listDue ? this->now : this->listSentAt;
}

void World::readLog(FakeNode &node)
{
    if (!this->canReachLog(node)) {
        return;
    }
    const Instant requestedAt = this->nodeTime(node);
    const bool delayed = this->chance(this->messageFaults.delayedRead);
    for (const auto &[stream, from] : node.followedStreams()) {
        StreamRead read = this->log.read(stream, from);
        if (!delayed) {
            node.applyRead(stream, read, requestedAt);
            continue;
        }
        this->schedule(milliseconds(this->random(6000)),
                       [this, &node, incarnation = node.incarnation(), stream = stream,
                        read = std::move(read), requestedAt] {
                           if (node.alive && node.incarnation() == incarnation) {
                               this->runWhenResumed(
                                       node, [&node, incarnation, stream, read, requestedAt] {
                                           if (node.incarnation() == incarnation) {
                                               node.applyRead(stream, read, requestedAt);
                                           }
                                       });
                           }
                       });
    }
}

void World::perform(FakeNode &node, const Action &action)
{
    if (const auto *append = std::get_if<AppendAction>(&action)) {
        this->append(node, *append);
    } else if (const auto *exchangeAction = std::get_if<ExchangeAction>(&action)) {
        this->exchange(node, *exchangeAction, false);
    } else if (const auto *event = std::get_if<EventAction>(&action)) {
        auto &[count, detail] = this->loggedEvents[event->event];
        ++count;
        detail = event->detail;
        this->addTrace(node.id().name() + ": " + std::string(eventInfo(event->event).name) + ' '
                       + event->peer + ' ' + event->detail);
    }
}

//==============================================================================
bool World::canReachLog(const FakeNode &node) const
{
    const bool separated = this->partitioned && this->dataCentreOf(node.id()) != 'a';
    return !this->logDown && !separated;
}

bool World::canReach(const FakeNode &node, const WorkerEntry &worker) const
{
    const bool separated = this->partitioned && this->dataCentreOf(node.id()) != worker.dataCentre;
    const bool broken = this->brokenLinks.contains({ node.id(), worker.fake->id() });
    return worker.fake->isAlive() && !worker.silent && !separated && !broken;
}

char World::dataCentreOf(const NodeId &node) const
{
    std::size_t index = 0;
    while (this->options.nodes[index] != node.name()) {
        ++index;
    }
    return this->options.dataCentres[index % this->options.dataCentres.size()];
}

Instant World::nodeTime(const FakeNode &node) const
{
    const std::int64_t elapsed = (this->now - this->start).count();
    return this->now + Duration(elapsed / 1'000'000 * node.clockRatePpm);
}

void World::schedule(Duration delay, std::function<void()> event)
{
    this->events.emplace(this->now + delay, std::move(event));
}

void World::runWhenResumed(FakeNode &node, std::function<void()> event)
{
    if (node.pausedUntil > this->now) {
        this->events.emplace(node.pausedUntil, std::move(event));
    } else {
        event();
    }
}

//==============================================================================
template<class State>
static StreamFollower<State> follow(const FakeLog &log, const std::string &stream)
{
    StreamFollower<State> follower;
    const StreamRead read = log.read(stream, 0);
    follower.setFirstRetainedOffset(read.firstOffset);
    for (const LoggedRecord &record : read.records) {
        follower.read(record.offset, record.payload);
    }
    return follower;
}

bool World::areAllJobsFinished() const
{
    const auto work = follow<GroupClaims>(this->log, GroupOwner::workStream);
    if (!work.isUsable()) {
        return false;
    }
    for (const JobSpec *spec : this->jobs.inOrder()) {
        const bool completed = work.state().isComplete(spec->job, spec->taskCount);
        if (!completed && !this->jobs.isCancelled(spec->job)) {
            return false;
        }
    }
    return true;
}

bool World::isLogUnrecoverable() const
{
    bool lost = !follow<GroupClaims>(this->log, GroupOwner::workStream).isUsable();
    for (const GroupId &group : this->groups) {
        lost = lost || !follow<GroupState>(this->log, "group/" + group.name()).isUsable();
    }
    return lost;
}

std::vector<VmId> World::liveWorkers() const
{
    std::vector<VmId> live;
    for (const auto &[id, entry] : this->workers) {
        if (entry.fake->isAlive()) {
            live.push_back(id);
        }
    }
    return live;
}

std::vector<NodeId> World::nodeIds() const
{
    std::vector<NodeId> ids;
    for (const auto &[id, node] : this->nodes) {
        ids.push_back(id);
    }
    return ids;
}

NodeId World::ownerOf(const GroupId &group) const
{
    for (const auto &[id, node] : this->nodes) {
        if (node->alive && node->owns(group)) {
            return id;
        }
    }
    return {};
}

std::size_t World::eventCount(Event event) const
{
    const auto found = this->loggedEvents.find(event);
    return found == this->loggedEvents.end() ? 0 : found->second.first;
}

std::string World::lastDetail(Event event) const
{
    const auto found = this->loggedEvents.find(event);
    return found == this->loggedEvents.end() ? std::string() : found->second.second;
}

} // namespace bulrush::explorer
