#pragma once

#include "Measures.h"

#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>

namespace bulrush::bench {

/** One run of a case: nine routers, 65 executors with queues, and links between them. */
class Simulation
{
public:
    Simulation(const Case &caseToRun, const std::vector<Arrival> &arrivalsToRun, Duration runLength,
               routing::StrategyKind strategyToRun, std::uint64_t seed);

    /** Runs to the end and returns what was seen. */
    Measures run();

private:
    enum class EventKind : std::uint8_t {
        Tick,
        Reach,
        ServiceDone,
        AnswerBack,
        SilenceOne,
        LoseNode,
        NoticeLoss,
        Cut,
        NoticeCut,
        Heal,
    };

    struct Event
    {
        Instant at;
        std::uint64_t order;
        EventKind kind;
        /** A node or a job, by the kind. */
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
    void reach(std::size_t jobNumber);
    void start(std::size_t jobNumber);
    void serviceDone(std::size_t jobNumber);
    void answerBack(std::size_t jobNumber);
    void silenceOne();
    void loseNode();
    void noticeLoss();
    void setReachable(bool reachable);

    void carryOut(std::size_t nodeNumber);
    void send(std::size_t nodeNumber, const routing::Send &send);
    void abandon(std::size_t nodeNumber, const routing::Abandon &abandon);
    void finish(const routing::Answer &answer);
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
    bool cutOff = false;
};

} // namespace bulrush::bench
