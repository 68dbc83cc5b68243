#include "Simulation.h"

#include <algorithm>

namespace bulrush::bench {

using namespace routing;

namespace {

/** The node that is lost, and the data centre that is cut off from the others. */
constexpr std::size_t lostNode = 4;
constexpr std::size_t cutDataCentre = 0;

/** Time until the other nodes detect the loss or the cut. */
constexpr Duration detectionDelay = milliseconds(500);

constexpr Duration cutDuration = seconds(2);

DataCentreId centreName(std::size_t dataCentre)
{
    return DataCentreId("dc" + std::to_string(dataCentre));
}

Duration oneWay(std::size_t node, std::size_t executor)
{
    return dataCentreOf(node) == dataCentreOf(executor) ? oneWayInside : oneWayBetween;
}

} // namespace

Simulation::Simulation(const Case &caseToRun, const std::vector<Arrival> &arrivalsToRun,
                       Duration runLength, StrategyKind strategyToRun, std::uint64_t seed)
    : benchCase(caseToRun)
    , arrivals(arrivalsToRun)
    , length(runLength)
    , executors(executorCount)
    , random(seed)
{
    this->measures.strategy =
            TargetChooser::strategyNames()[static_cast<std::size_t>(strategyToRun)];
    this->addNodes(strategyToRun, seed);
    this->scheduleFaults();
}

void Simulation::addNodes(StrategyKind strategy, std::uint64_t seed)
{
    for (std::size_t i = 0; i < nodeCount; ++i) {
        RouterSettings settings { centreName(dataCentreOf(i)), strategy, true, seed + i };
        Node node;
        node.router = std::make_unique<Router>(settings);
        for (std::size_t centre = 0; centre < dataCentreCount; ++centre) {
            const bool own = centre == dataCentreOf(i);
            node.router->setOneWayDelay(centreName(centre), own ? oneWayInside : oneWayBetween);
        }
        this->putTargets(node, nodeCount);
        this->nodes.push_back(std::move(node));
    }
}

void Simulation::putTargets(Node &node, std::size_t sharingNodes)
{
    const unsigned share = connectionShare(connectionsPerExecutor, sharingNodes);
    for (std::size_t i = 0; i < executorCount; ++i) {
        node.router->putTarget({ TargetId(std::to_string(i)), centreName(dataCentreOf(i)),
                                 slotsPerExecutor, share });
    }
}

void Simulation::scheduleFaults()
{
    const Instant middle = this->begin + this->length / 2;
    if (this->benchCase.silentConnections) {
        for (Duration at = seconds(1); at < this->length; at += seconds(1)) {
            this->schedule(this->begin + at, EventKind::SilenceConnection, 0);
        }
    }
    if (this->benchCase.nodeLoss) {
        this->schedule(middle, EventKind::LoseNode, 0);
        this->schedule(middle + detectionDelay, EventKind::DetectLoss, 0);
    }
    if (this->benchCase.dataCentreCut) {
        this->schedule(middle, EventKind::BeginCut, 0);
        this->schedule(middle + detectionDelay, EventKind::DetectCut, 0);
        this->schedule(middle + cutDuration, EventKind::EndCut, 0);
    }
}

void Simulation::schedule(Instant at, EventKind kind, std::size_t subject)
{
    this->events.push(Event { at, ++this->order, kind, subject });
}

//==============================================================================
Measures Simulation::run()
{
    std::size_t next = 0;
    while (next < this->arrivals.size() || !this->events.empty()) {
        const bool arrivalFirst = next < this->arrivals.size()
                && (this->events.empty() || this->arrivals[next].at <= this->events.top().at);
        if (arrivalFirst) {
            this->now = this->arrivals[next].at;
            this->arrive(next++);
            continue;
        }
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        if (this->now > this->begin + this->length + seconds(1)) {
            break;
        }
        this->handle(event);
    }
    for (const Node &node : this->nodes) {
        const RouterCounts &counts = node.router->counts();
        this->measures.secondSends += counts.retries + counts.hedges;
        this->measures.requestsSeen += counts.arrived;
    }
    const auto measured = std::count_if(
            this->arrivals.begin(), this->arrivals.end(),
            [this](const Arrival &arrival) { return arrival.at >= this->begin + warmUp; });
    this->measures.recordLost(static_cast<std::uint64_t>(measured) - this->measures.arrived);
    this->measures.finalise(this->length - warmUp);
    return std::move(this->measures);
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Tick:
        if (this->nodes[event.subject].alive && this->nodes[event.subject].tickAt == event.at) {
            this->nodes[event.subject].tickAt = Instant::max();
            this->nodes[event.subject].router->tick(this->now);
            this->performActions(event.subject);
        }
        break;
    case EventKind::ReachExecutor:
        this->reachExecutor(event.subject);
        break;
    case EventKind::FinishService:
        this->finishService(event.subject);
        break;
    case EventKind::ReceiveAnswer:
        this->receiveAnswer(event.subject);
        break;
    case EventKind::SilenceConnection:
        this->silenceConnection();
        break;
    case EventKind::LoseNode:
        this->loseNode();
        break;
    case EventKind::DetectLoss:
        this->detectLoss();
        break;
    case EventKind::BeginCut:
        this->isCut = true;
        break;
    case EventKind::DetectCut:
        this->setReachable(false);
        break;
    case EventKind::EndCut:
        this->isCut = false;
        this->setReachable(true);
        break;
    }
}

void Simulation::arrive(std::size_t number)
{
    const Arrival &arrival = this->arrivals[number];
    std::size_t node = arrival.node;
    if (!this->nodes[node].alive) {
        node = (node + dataCentreCount) % nodeCount;
    }
    const Request request { RequestId(number), arrival.at + deadlineAfter, arrival.requestClass,
                            arrival.idempotent, milliseconds(250) };
    this->nodes[node].router->arrived(request, this->now);
    this->performActions(node);
}

void Simulation::reachExecutor(std::size_t jobNumber)
{
    const Job &job = this->jobs[jobNumber];
    if (job.abandoned || this->isLinkBroken(job)) {
        return;
    }
    Executor &executor = this->executors[job.executor];
    if (executor.running < slotsPerExecutor) {
        this->start(jobNumber);
    } else {
        executor.queue.push_back(jobNumber);
    }
}

void Simulation::start(std::size_t jobNumber)
{
    const Job &job = this->jobs[jobNumber];
    ++this->executors[job.executor].running;
    const double factor = isSlow(this->benchCase, job.executor) ? slowFactor : 1.0;
    const std::chrono::duration<double> service(this->arrivals[job.request].serviceSeconds
                                                * factor);
    this->schedule(this->now + duration_cast<Duration>(service), EventKind::FinishService,
                   jobNumber);
}

void Simulation::finishService(std::size_t jobNumber)
{
    Job &job = this->jobs[jobNumber];
    Executor &executor = this->executors[job.executor];
    job.reportedLoad = executor.running + static_cast<unsigned>(executor.queue.size());
    --executor.running;
    while (!executor.queue.empty() && executor.running < slotsPerExecutor) {
        const std::size_t waiting = executor.queue.front();
        executor.queue.pop_front();
        if (!this->jobs[waiting].abandoned) {
            this->start(waiting);
        }
    }
    if (!this->isLinkBroken(job)) {
        this->schedule(this->now + oneWay(job.node, job.executor), EventKind::ReceiveAnswer,
                       jobNumber);
    }
}

void Simulation::receiveAnswer(std::size_t jobNumber)
{
    const Job &job = this->jobs[jobNumber];
    Node &node = this->nodes[job.node];
    if (job.abandoned || !node.alive) {
        return;
    }
    const AnswerHead head { { job.reportedLoad, false }, false };
    if (const auto request = node.router->answerHead(job.attempt, head, this->now)) {
        node.router->answerForwarded(*request);
    }
    node.router->answerComplete(job.attempt, this->now);
    node.jobs.erase(job.attempt);
    this->performActions(job.node);
}

//==============================================================================
void Simulation::silenceConnection()
{
    constexpr ConnectionIndex busyConnections = 2;
    const std::size_t node = this->random() % nodeCount;
    std::size_t executor = this->random() % executorCount;
    while (dataCentreOf(executor) != dataCentreOf(node)) {
        executor = (executor + 1) % executorCount;
    }
    const auto connection = static_cast<ConnectionIndex>(this->random() % busyConnections);
    this->silentLinks.emplace(node, executor, connection);
}

void Simulation::loseNode()
{
    this->nodes[lostNode].alive = false;
    for (const auto &[attempt, job] : this->nodes[lostNode].jobs) {
        this->jobs[job].abandoned = true;
    }
}

void Simulation::detectLoss()
{
    for (Node &node : this->nodes) {
        this->putTargets(node, nodeCount - 1);
    }
}

void Simulation::setReachable(bool reachable)
{
    for (std::size_t i = 0; i < nodeCount; ++i) {
        for (std::size_t centre = 0; centre < dataCentreCount; ++centre) {
            const bool crossing = (dataCentreOf(i) == cutDataCentre) != (centre == cutDataCentre);
            if (crossing) {
                this->nodes[i].router->setReachable(centreName(centre), reachable);
            }
        }
    }
}

//==============================================================================
void Simulation::performActions(std::size_t nodeNumber)
{
    Node &node = this->nodes[nodeNumber];
    for (const Action &action : node.router->takeActions()) {
        if (const auto *send = std::get_if<Send>(&action)) {
            this->send(nodeNumber, *send);
        } else if (const auto *abandon = std::get_if<Abandon>(&action)) {
            this->abandon(nodeNumber, *abandon);
        } else if (const auto *answer = std::get_if<Answer>(&action)) {
            this->recordAnswer(*answer);
        } else if (const auto *close = std::get_if<CloseIdle>(&action)) {
            const std::size_t executor = std::stoul(close->target.name());
            this->silentLinks.erase({ nodeNumber, executor, close->connection });
        }
    }
    const Instant due = std::max(node.router->nextDue(), this->now);
    if (due < node.tickAt) {
        node.tickAt = due;
        this->schedule(due, EventKind::Tick, nodeNumber);
    }
}

void Simulation::send(std::size_t nodeNumber, const Send &send)
{
    Node &node = this->nodes[nodeNumber];
    const std::size_t executor = std::stoul(send.target.name());
    const Job job { nodeNumber, executor, send.connection, send.attempt,
                    static_cast<std::size_t>(send.request) };
    node.jobs.emplace(send.attempt, this->jobs.size());
    node.router->sendStarted(send.attempt);
    this->schedule(this->now + oneWay(nodeNumber, executor), EventKind::ReachExecutor,
                   this->jobs.size());
    this->jobs.push_back(job);
}

void Simulation::abandon(std::size_t nodeNumber, const Abandon &abandon)
{
    Node &node = this->nodes[nodeNumber];
    const auto found = node.jobs.find(abandon.attempt);
    if (found == node.jobs.end()) {
        return;
    }
    Job &job = this->jobs[found->second];
    job.abandoned = true;
    this->silentLinks.erase({ nodeNumber, job.executor, job.connection });
    node.jobs.erase(found);
}

void Simulation::recordAnswer(const Answer &answer)
{
    const Arrival &arrival = this->arrivals[static_cast<std::size_t>(answer.request)];
    if (arrival.at >= this->begin + warmUp) {
        this->measures.record(answer.outcome, arrival.requestClass, this->now - arrival.at);
    }
}

bool Simulation::isLinkBroken(const Job &job) const
{
    const bool crossing = (dataCentreOf(job.node) == cutDataCentre)
            != (dataCentreOf(job.executor) == cutDataCentre);
    if (this->isCut && crossing) {
        return true;
    }
    return !this->silentLinks.empty()
            && this->silentLinks.contains({ job.node, job.executor, job.connection });
}

} // namespace bulrush::bench
