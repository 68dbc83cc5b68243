#pragma once

#include "bulrush_node/groups/GroupRunner.h"
#include "bulrush_node/groups/JobSource.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bulrush {

/** Who this node is, for work on workers. */
struct GroupManagerSettings
{
    NodeId node;
    DataCentreId dataCentre;
    /** Unique for each start of each node. */
    std::string process;
    Durations durations;
    Duration poll = milliseconds(500);
};

/**
    Runs this node's share of the workers: reads the work stream, decides which groups of its data
    centre it is to own, runs a GroupDesk for each, keeps leases alive where an owner is silent,
    and reports jobs whose tasks are all completed.
*/
class GroupManager : private LogReader::Listener
{
public:
    /** Takes a job's or watcher's name and its run. */
    using JobEndFunction = std::function<void(const std::string &, const JobId &)>;

    /** @param jobDone called with a job whose tasks are all completed, until its record is gone */
    GroupManager(const GroupContext &context, const GroupManagerSettings &settings,
                 JobEndFunction reportJobEnd);

    GroupManager(const GroupManager &) = delete;
    GroupManager &operator=(const GroupManager &) = delete;

    /** Starts to read and to act. */
    void start();

    /** Takes the records in force. */
    void updateRecords(const RecordState &records);

    /** Takes the platform's list of VMs. */
    void updateVms(const std::vector<VmEntry> &vms);

    /** Takes the nodes of this data centre that are there and stay, this one included. */
    void updateNodes(const std::set<NodeId> &nodes) { this->liveNodes = nodes; }

    const GroupClaims &claims() const { return this->work.state(); }
    const JobBook &jobRegistry() const { return this->jobs.registry(); }
    const std::map<GroupId, std::unique_ptr<GroupRunner>> &groups() const { return this->runners; }

private:
    LogOffset readOffset() const override { return this->work.nextOffset(); }
    void pageRead(const LogPage &page, Instant sentAt) override;
    void availabilityChanged(bool /*available*/) override { }

    void tick();
    WorkView view() const;
    bool isWanted(const GroupId &group) const;
    void renewForSilentOwners();
    void reportFinishedJobs();

    GroupContext context;
    const GroupManagerSettings settings;
    const JobEndFunction reportJobEnd;
    JobSource jobs;
    StreamFollower<GroupClaims> work;
    Instant readAt {};
    std::set<NodeId> liveNodes;
    std::map<GroupId, std::vector<VmStatus>> workersByGroup;
    std::map<GroupId, std::unique_ptr<GroupRunner>> runners;
    Renewer renewer;
    Instant finishedCheckedAt {};
    interference::PolicyWeights weights;
    LogReader reader;
};

/** Returns the node that is first in line for something, the same on every node. */
NodeId preferredNode(const std::set<NodeId> &nodes, std::string_view key);

} // namespace bulrush
