#pragma once

#include "Checker.h"
#include "FakeLog.h"
#include "FakeNode.h"
#include "FakeWorker.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace bulrush::explorer {

/** How often each kind of trouble hits a message, in thousandths. */
struct Chaos
{
    std::uint64_t lostRequest = 0;
    std::uint64_t lostAnswer = 0;
    std::uint64_t doubledRequest = 0;
    std::uint64_t slowRequest = 0;
    std::uint64_t slowAnswer = 0;
    std::uint64_t lostAppend = 0;
    std::uint64_t lateAppend = 0;
    std::uint64_t doubledAppend = 0;
    std::uint64_t slowRead = 0;
};

struct WorldOptions
{
    std::uint64_t seed = 1;
    Durations durations;
    Guards guards;
    WorkerHelp help;
    std::vector<std::string> nodes { "n1", "n2", "n3" };
    std::vector<std::string> groups { "g1", "g2" };
    std::string dataCentres = "ab"; ///< nodes and groups are spread over these in turn
};

/** Durations in which minutes of trouble fit into seconds of a test's time. */
Durations shortDurations();

/**
    Nodes, workers and the platform, with messages between them and a clock that a test advances.
    Every step is checked by the Checker; a property that does not hold throws Fault.
*/
class World
{
public:
    explicit World(const WorldOptions &options);

    World(const World &) = delete;
    World &operator=(const World &) = delete;

    //==============================================================================
    VmId addWorker(const GroupId &group, const Resources &capacity);
    void addJob(const JobSpec &spec);
    void cancelJob(const JobId &job);
    void setQuota(const TeamId &team, const Resources &quota) { this->jobs.setQuota(team, quota); }

    /** Makes one node want to own a group, and no other. */
    void assign(const GroupId &group, const NodeId &node);

    void killNode(const NodeId &node);
    void restartNode(const NodeId &node);
    void pauseNode(const NodeId &node, Duration span);
    void killWorker(const VmId &worker);
    void restartWorker(const VmId &worker);
    void setWorkerLeaving(const VmId &worker);
    void setLogDown(bool down) { this->logDown = down; }
    void setCut(bool isCut) { this->cut = isCut; }
    void setSilent(const VmId &worker, bool isSilent);
    void setLinkBroken(const NodeId &node, const VmId &worker, bool broken);
    /** Holds back what a node sends to workers; releasing delivers it late. */
    void holdMessages(const NodeId &node, bool hold);
    /** Leaves a VM out of the platform's list, as an older list does. */
    void setUnlisted(const VmId &worker, bool isUnlisted);
    void mendLinks() { this->brokenLinks.clear(); }
    void setRenewing(bool on) { this->renewing = on; }
    void setListLag(Duration lag) { this->listLag = lag; }
    void evict(const TaskId &task);
    void setChaos(const Chaos &chaosNow) { this->chaos = chaosNow; }

    /** Lets time pass. @throws Fault when a property does not hold */
    void run(Duration span);

    //==============================================================================
    bool isAllFinished() const;

    /** Returns whether retention has cut a stream off that no snapshot covers. */
    bool isLogLost() const;
    Instant time() const { return this->now; }
    Checker &checker() { return this->checks; }
    FakeNode &node(const NodeId &id) { return *this->nodes.at(id); }
    FakeWorker &worker(const VmId &id) { return *this->workers.at(id).fake; }
    std::vector<VmId> liveWorkers() const;
    std::vector<NodeId> nodeIds() const;
    const std::vector<GroupId> &groupIds() const { return this->groups; }
    NodeId ownerOf(const GroupId &group) const;
    const FakeLog &platformLog() const { return this->log; }
    std::uint64_t random(std::uint64_t bound);
    bool chance(std::uint64_t thousandths) { return this->random(1000) < thousandths; }

    /** Returns the last events, newest last. */
    const std::vector<std::string> &trace() const { return this->traceLines; }
    void note(const std::string &line);

    /** Returns how often an event was logged by the nodes, and the last one's detail. */
    std::size_t eventCount(Event event) const;
    std::string lastDetail(Event event) const;

private:
    struct WorkerEntry
    {
        std::unique_ptr<FakeWorker> fake;
        GroupId group;
        char dataCentre = 'a';
        bool silent = false;
        bool unlisted = false;
        std::int64_t clockRatePpm = 0;
        Instant bornAt {};
        Instant diedAt {};
    };

    void step();
    void deliverDue();
    void tickNodes();
    void readLog(FakeNode &node);
    void perform(FakeNode &node, const Action &action);
    void append(FakeNode &node, const AppendAction &action);
    void takeEffect(const AppendAction &action);
    void exchange(FakeNode &node, const ExchangeAction &action, bool byRenewer);
    void deliver(FakeNode &node, const ExchangeAction &action, bool byRenewer, bool late);
    void sendList(FakeNode &node);
    bool reachesLog(const FakeNode &node) const;
    bool reaches(const FakeNode &node, const WorkerEntry &worker) const;
    Instant nodeTime(const FakeNode &node) const;
    void schedule(Duration delay, std::function<void()> event);
    void whenAwake(FakeNode &node, std::function<void()> event);
    char dataCentreOf(const NodeId &node) const;

    WorldOptions options;
    std::mt19937_64 generator;
    Instant now { hours(10) };
    Instant start { hours(10) };
    Checker checks;
    FakeLog log;
    JobBook jobs;
    std::vector<GroupId> groups;
    std::map<NodeId, std::unique_ptr<FakeNode>> nodes;
    std::map<VmId, WorkerEntry> workers;
    std::multimap<Instant, std::function<void()>> events;
    std::map<Event, std::pair<std::size_t, std::string>> logged;
    std::set<std::pair<NodeId, VmId>> brokenLinks;
    std::map<NodeId, std::vector<ExchangeAction>> heldMessages;
    Chaos chaos;
    Duration listLag {};
    Instant listSentAt {};
    bool logDown = false;
    bool cut = false;
    bool renewing = false;
    std::uint64_t workerCount = 0;
    std::vector<std::string> traceLines;
};

} // namespace bulrush::explorer
