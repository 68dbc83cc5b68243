#pragma once

#include "Measures.h"

#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>

namespace bulrush::bench {

/** Simulates one run of a case: nine routers, 65 executors with queues, and links between them. */
class Simulation
{
public:
    Simulation(const Case &caseToRun, const std::vector<Arrival> &arrivalsToRun, Duration runLength,
               routing::StrategyKind strategyToRun, std::uint64_t seed);

    /** Runs the simulation to its end and returns the measurements. */
    Measures run();

private:
    enum class EventKind : std::uint8_t {
        Tick,
        ReachExecutor,
        FinishService,
        ReceiveAnswer,
        SilenceConnection,
        LoseNode,
        DetectLoss,
        BeginCut,
        DetectCut,
        EndCut,
    };

    struct Event
    {
        Instant at;
        std::uint64_t order;
        EventKind kind;
        /** The index of a node or a job, depending on the kind. */
        std::size_t subject;

        bool operator<(const Event &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    struct Job
    {
        std::size_t node;
        std::size_t executor;
        routing::ConnectionIndex connection;
        routing::AttemptId attempt;
        std::size_t request;
        bool abandoned = false;
        unsigned reportedLoad = 0;
    };

    struct Node
    {
        std::unique_ptr<routing::Router> router;
        std::unordered_map<routing::AttemptId, std::size_t> jobs;
        Instant tickAt = Instant::max();
        bool alive = true;
    };

    struct Executor
    {
        unsigned running = 0;
        std::deque<std::size_t> queue;
    };

    using Link = std::tuple<std::size_t, std::size_t, routing::ConnectionIndex>;

    void addNodes(routing::StrategyKind strategy, std::uint64_t seed);
    void putTargets(Node &node, std::size_t sharingNodes);
    void scheduleFaults();
    void schedule(Instant at, EventKind kind, std::size_t subject);
    void handle(const Event &event);

    void arrive(std::size_t number);
    void reachExecutor(std::size_t jobNumber);
    void start(std::size_t jobNumber);
    void finishService(std::size_t jobNumber);
    void receiveAnswer(std::size_t jobNumber);
    void silenceConnection();
    void loseNode();
    void detectLoss();
    void setReachable(bool reachable);

    void performActions(std::size_t nodeNumber);
    void send(std::size_t nodeNumber, const routing::Send &send);
    void abandon(std::size_t nodeNumber, const routing::Abandon &abandon);
    void recordAnswer(const routing::Answer &answer);
    bool isLinkBroken(const Job &job) const;

    const Case &benchCase;
    const std::vector<Arrival> &arrivals;
    Duration length;
    Instant begin { hours(1) };
    Instant now { hours(1) };
    Measures measures;
    std::vector<Node> nodes;
    std::vector<Executor> executors;
    std::vector<Job> jobs;
    std::priority_queue<Event> events;
    std::set<Link> silentLinks;
    std::mt19937_64 random;
    std::uint64_t order = 0;
    bool isCut = false;
};

} // namespace bulrush::bench
