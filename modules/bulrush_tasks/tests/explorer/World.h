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

/** The probability of each kind of message fault, in thousandths. */
struct MessageFaults
{
    std::uint64_t lostRequest = 0;
    std::uint64_t lostAnswer = 0;
    std::uint64_t duplicatedRequest = 0;
    std::uint64_t delayedRequest = 0;
    std::uint64_t delayedAnswer = 0;
    std::uint64_t lostAppend = 0;
    std::uint64_t delayedAppend = 0;
    std::uint64_t duplicatedAppend = 0;
    std::uint64_t delayedRead = 0;
};

struct WorldOptions
{
    std::uint64_t seed = 1;
    Durations durations;
    Guards guards;
    WorkerGuards workerGuards;
    std::vector<std::string> nodes { "n1", "n2", "n3" };
    std::vector<std::string> groups { "g1", "g2" };
    std::string dataCentres = "ab"; ///< one letter each; nodes and groups are spread round-robin
};

/** Returns scaled-down durations, so that faults that take minutes in production take seconds of
    simulated time. */
Durations shortDurations();

/**
    Simulates nodes, workers and the platform, the messages between them, and a clock that the test
    advances. The Checker checks every step; a violated property throws InvariantViolation.
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

    /** Makes a node request ownership of a group; the other nodes are not changed. */
    void assign(const GroupId &group, const NodeId &node);

    void killNode(const NodeId &node);
    void restartNode(const NodeId &node);
    void pauseNode(const NodeId &node, Duration span);
    void killWorker(const VmId &worker);
    void restartWorker(const VmId &worker);
    void setWorkerLeaving(const VmId &worker);
    void setLogDown(bool down) { this->logDown = down; }
    /** Separates the data centres; only nodes in data centre 'a' reach the log and the VM list. */
    void setPartitioned(bool isPartitioned) { this->partitioned = isPartitioned; }
    void setSilent(const VmId &worker, bool isSilent);
    void setLinkBroken(const NodeId &node, const VmId &worker, bool broken);
    /** Holds back a node's requests to workers, or delivers the held ones late. */
    void holdMessages(const NodeId &node, bool hold);
    /** Omits a VM from the platform's list, as an outdated list would. */
    void setUnlisted(const VmId &worker, bool isUnlisted);
    void restoreLinks() { this->brokenLinks.clear(); }
    void setRenewing(bool on) { this->renewing = on; }
    void setListLag(Duration lag) { this->listLag = lag; }
    void evict(const TaskId &task);
    void setMessageFaults(const MessageFaults &newFaults) { this->messageFaults = newFaults; }

    /** Advances the simulated time. @throws InvariantViolation when a property is violated */
    void run(Duration span);

    //==============================================================================
    bool areAllJobsFinished() const;

    /** Returns whether retention has removed records that no snapshot covers. */
    bool isLogUnrecoverable() const;
    Instant time() const { return this->now; }
    Checker &checker() { return this->invariantChecker; }
    FakeNode &node(const NodeId &id) { return *this->nodes.at(id); }
    FakeWorker &worker(const VmId &id) { return *this->workers.at(id).fake; }
    std::vector<VmId> liveWorkers() const;
    std::vector<NodeId> nodeIds() const;
    const std::vector<GroupId> &groupIds() const { return this->groups; }
    NodeId ownerOf(const GroupId &group) const;
    const FakeLog &platformLog() const { return this->log; }
    std::uint64_t random(std::uint64_t bound);
    bool chance(std::uint64_t thousandths) { return this->random(1000) < thousandths; }

    /** Returns the most recent trace lines, newest last. */
    const std::vector<std::string> &trace() const { return this->traceLines; }
    void addTrace(const std::string &line);

    /** Returns how often the nodes logged an event, and the detail of its last occurrence. */
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
        Instant addedAt {};
        Instant killedAt {};
    };

    void step();
    void runDueEvents();
    void tickNodes();
    void readLog(FakeNode &node);
    void perform(FakeNode &node, const Action &action);
    void append(FakeNode &node, const AppendAction &action);
    void applyAppend(const AppendAction &action);
    void exchange(FakeNode &node, const ExchangeAction &action, bool byRenewer);
    void deliver(FakeNode &node, const ExchangeAction &action, bool byRenewer, bool late);
    void sendVmList(FakeNode &node);
    bool canReachLog(const FakeNode &node) const;
    bool canReach(const FakeNode &node, const WorkerEntry &worker) const;
    Instant nodeTime(const FakeNode &node) const;
    void schedule(Duration delay, std::function<void()> event);
    void runWhenResumed(FakeNode &node, std::function<void()> event);
    char dataCentreOf(const NodeId &node) const;

    WorldOptions options;
    std::mt19937_64 generator;
    Instant now { hours(10) };
    Instant start { hours(10) };
    Checker invariantChecker;
    FakeLog log;
    JobRegistry jobs;
    std::vector<GroupId> groups;
    std::map<NodeId, std::unique_ptr<FakeNode>> nodes;
    std::map<VmId, WorkerEntry> workers;
    std::multimap<Instant, std::function<void()>> events;
    std::map<Event, std::pair<std::size_t, std::string>> loggedEvents;
    std::set<std::pair<NodeId, VmId>> brokenLinks;
    std::map<NodeId, std::vector<ExchangeAction>> heldMessages;
    MessageFaults messageFaults;
    Duration listLag {};
    Instant listSentAt {};
    bool logDown = false;
    bool partitioned = false;
    bool renewing = false;
    std::uint64_t workerCount = 0;
    std::vector<std::string> traceLines;
};

} // namespace bulrush::explorer
