#pragma once

#include "bulrush_ownership/claims/WorkRecords.h"
#include "bulrush_ownership/streams/StreamFollower.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Who owns a group. */
struct GroupOwnership
{
    NodeId node;
    Epoch epoch = 0;
    std::string claimId;
    std::uint64_t lastOperation = 0; ///< sequence of the last operation in this epoch
};

/** A range of a job's tasks that one group holds. */
struct TaskRange
{
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
};

/** What an earlier group left of a task that it returned. */
struct CarriedTask
{
    std::uint32_t attempt = 0;
    std::string checkpoint;
};

/**
    Folds the `work` stream: owner and epoch of each group, the groups' task ranges, and the
    workers whose leases nobody may renew. Every node that has read the same offset agrees.
*/
class GroupClaims
{
public:
    /** Applies the record at an offset; invalid and repeated records change nothing. */
    void read(std::uint64_t offset, std::string_view payload);

    /** Returns a group's owner; epoch 0 where it was never claimed. */
    GroupOwnership ownershipOf(const GroupId &group) const;

    /** Returns the groups that a node owns. */
    std::vector<GroupId> groupsOf(const NodeId &node) const;

    /** Returns the unfinished ranges that a group holds. */
    std::vector<TaskRange> rangesOf(const GroupId &group) const;

    /** Returns the group that holds a task, whether completed or not. */
    std::optional<GroupId> holderOf(const JobId &job, std::uint32_t index) const;

    /** Returns a free range of a job, at most `limit` long: the first at or after `from`, else the
        first of all. @param taskCount the job's size */
    std::optional<TaskRange> freeRange(const JobId &job, std::uint32_t taskCount,
                                       std::uint32_t limit, std::uint32_t from = 0) const;

    /** Returns how many groups were ever claimed. */
    std::size_t groupCount() const { return this->owners.size(); }

    /** Returns every job with tasks that are held and not completed, with their number. */
    std::map<JobId, std::uint32_t> heldTasks() const;

    /** Returns whether all tasks of a job are completed. */
    bool isComplete(const JobId &job, std::uint32_t taskCount) const;

    /** Returns what an earlier group left of a task; attempt 0 where none ran it. */
    CarriedTask carried(const JobId &job, std::uint32_t index) const;

    /** Returns whether nobody may renew this worker's leases. */
    bool isRevoked(const VmId &worker) const { return this->revoked.contains(worker); }

    /** Returns the offset up to which the snapshots that were read reach; 0 without any. */
    std::uint64_t snapshotReach() const { return this->reach; }

    /** Returns the snapshot record of this state. @param asOf the last offset that was read */
    std::string snapshot(std::uint64_t asOf) const;

    /** Returns the snapshot in a payload, if it holds one. */
    static std::optional<StreamSnapshot<GroupClaims>> snapshotIn(std::string_view payload);

private:
    friend struct GuardsAccess;

    struct HeldRange
    {
        std::uint32_t last = 0;
        GroupId group;
        bool complete = false;
    };
    using JobRanges = std::map<std::uint32_t, HeldRange>;
    using TaskKey = std::pair<JobId, std::uint32_t>;

    void apply(const GroupClaim &claim);
    void apply(const GroupOperation &operation);
    void apply(const GroupId &group, const WorkItem &item);
    void claimTasks(const GroupId &group, const WorkItem &item);
    void releaseTasks(const GroupId &group, const WorkItem &item);
    void forgetCarried(const WorkItem &item);
    bool isFree(const JobId &job, std::uint32_t first, std::uint32_t last) const;
    void hold(const JobId &job, std::uint32_t first, const HeldRange &range);
    void mergeCompleted(JobRanges &held, JobRanges::iterator range);

    std::map<GroupId, GroupOwnership> owners;
    std::map<JobId, JobRanges> ranges;
    std::map<GroupId, std::set<TaskKey>> unfinished; ///< first tasks of each group's open ranges
    std::map<TaskKey, CarriedTask> carriedTasks;
    std::set<VmId> revoked;
    std::uint64_t reach = 0;
    Guards guards;
};

} // namespace bulrush
