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

/** The owner of a group and its epoch. */
struct GroupOwnership
{
    NodeId node;
    Epoch epoch = 0;
    std::string claimId;
    std::uint64_t lastOperation = 0; ///< sequence of the last operation in this epoch
};

/** A range of a job's tasks, both ends included. */
struct TaskRange
{
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
};

/** The progress of a task that an earlier group returned. */
struct CarriedTask
{
    std::uint32_t attempt = 0;
    std::string checkpoint;
};

/**
    The state of the `work` stream: the owner and epoch of each group, the groups' task ranges,
    and the workers whose leases must not be renewed. Nodes that have read up to the same offset
    have the same state.
*/
class GroupClaims
{
public:
    /** Applies the record at an offset; invalid and duplicate records have no effect. */
    void read(std::uint64_t offset, std::string_view payload);

    /** Returns a group's owner; epoch 0 if the group was never claimed. */
    GroupOwnership ownershipOf(const GroupId &group) const;

    /** Returns the groups that a node owns. */
    std::vector<GroupId> groupsOf(const NodeId &node) const;

    /** Returns the unfinished ranges that a group holds. */
    std::vector<TaskRange> rangesOf(const GroupId &group) const;

    /** Returns the group that holds or completed a task. */
    std::optional<GroupId> holderOf(const JobId &job, std::uint32_t index) const;

    /** Returns a free range of at most `limit` tasks of a job: the first one at or after `from`, or
        the first one of the job if all tasks from `from` on are held or completed.
        @param taskCount the job's size */
    std::optional<TaskRange> freeRange(const JobId &job, std::uint32_t taskCount,
                                       std::uint32_t limit, std::uint32_t from = 0) const;

    /** Returns the number of groups that have ever been claimed. */
    std::size_t groupCount() const { return this->owners.size(); }

    /** Returns the number of held, uncompleted tasks by job; omits jobs without any. */
    std::map<JobId, std::uint32_t> heldTaskCounts() const;

    /** Returns whether all tasks of a job are completed. */
    bool isComplete(const JobId &job, std::uint32_t taskCount) const;

    /** Returns the progress that an earlier group recorded when it returned a task; attempt 0 if
        there is none. */
    CarriedTask carriedTaskOf(const JobId &job, std::uint32_t index) const;

    /** Returns whether this worker's leases must not be renewed. */
    bool isRevoked(const VmId &worker) const { return this->revoked.contains(worker); }

    /** Returns the greatest offset that a snapshot read so far includes; 0 without a snapshot. */
    std::uint64_t latestSnapshotOffset() const { return this->snapshotOffset; }

    /** Returns a snapshot record of this state. @param asOf the offset of the last record read */
    std::string snapshot(std::uint64_t asOf) const;

    /** Returns the snapshot in a payload; nullopt if it is another record. */
    static std::optional<StreamSnapshot<GroupClaims>> decodeSnapshot(std::string_view payload);

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
    void insertRange(const JobId &job, std::uint32_t first, const HeldRange &range);
    void mergeCompleted(JobRanges &held, JobRanges::iterator range);

    std::map<GroupId, GroupOwnership> owners;
    std::map<JobId, JobRanges> ranges;
    std::map<GroupId, std::set<TaskKey>> unfinished; ///< first tasks of uncompleted ranges
    std::map<TaskKey, CarriedTask> carriedTasks;
    std::set<VmId> revoked;
    std::uint64_t snapshotOffset = 0;
    Guards guards;
};

} // namespace bulrush
