#pragma once

#include "bulrush_node/groups/GroupRunner.h"
#include "bulrush_node/groups/JobSource.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bulrush {

/** This node's identity, and the timing of leases and reads. */
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
    Manages the worker groups of this node's data centre: reads the work stream, runs a GroupRunner
    for each group, decides which groups this node is to own, renews the leases of groups whose
    owner is not live, and reports jobs whose tasks are all completed.
*/
class GroupManager : private LogReader::Listener
{
public:
    /** Called with the name of a job or watcher and its run. */
    using JobEndFunction = std::function<void(const std::string &, const JobId &)>;

    /** @param reportJobEnd called repeatedly with each job whose tasks are all completed, until its
               record is no longer in force
    */
    GroupManager(const GroupContext &context, const GroupManagerSettings &settings,
                 JobEndFunction reportJobEnd);

    GroupManager(const GroupManager &) = delete;
    GroupManager &operator=(const GroupManager &) = delete;

    /** Starts reading the work stream and running the groups. */
    void start();

    /** Applies the records in force. */
    void updateRecords(const RecordState &records);

    /** Applies the platform's list of VMs. */
    void updateVms(const std::vector<VmEntry> &vms);

    /** Sets the connected nodes of this data centre, this one included, that are not draining. */
    void updateNodes(const std::set<NodeId> &nodes) { this->liveNodes = nodes; }

    const GroupClaims &claims() const { return this->work.state(); }
    const JobRegistry &jobRegistry() const { return this->jobs.registry(); }
    const std::map<GroupId, std::unique_ptr<GroupRunner>> &groups() const { return this->runners; }

private:
    LogOffset readOffset() const override { return this->work.nextOffset(); }
    void pageRead(const LogPage &page, Instant sentAt) override;
    void availabilityChanged(bool /*available*/) override { }

    void tick();
    WorkView view() const;
    bool isWanted(const GroupId &group) const;
    void renewForUnavailableOwners();
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

/** Returns the preferred node for a key by rendezvous hashing; the same on every node. */
NodeId preferredNode(const std::set<NodeId> &nodes, std::string_view key);

} // namespace bulrush
