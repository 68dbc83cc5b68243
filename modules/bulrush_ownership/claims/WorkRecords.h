#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_ownership/streams/FencedStream.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrush {

/** A node's claim to own a worker group. */
struct GroupClaim
{
    std::string id; ///< unique for each claim of each process
    GroupId group;
    NodeId node;
    Epoch epoch = 0;
};

/** Kinds of changes that a group's owner makes to the state shared by all nodes. */
enum class WorkChange : std::uint8_t {
    ClaimTasks, ///< the group claims a free range of a job's tasks
    ReturnTasks, ///< the group returns a range, which is free again
    CompleteTasks, ///< the final outcome of every task of the range is recorded
    RevokeWorker, ///< the worker's leases must not be renewed from now on
    RestoreWorker, ///< the worker's leases may be renewed again
};

/** One change to the shared state. */
struct WorkItem
{
    WorkChange change = WorkChange::ClaimTasks;
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint32_t attempt = 0; ///< ReturnTasks of one task: its last attempt, which has ended
    std::string checkpoint; ///< ReturnTasks of one task: its next attempt resumes from it
    VmId worker; ///< RevokeWorker, RestoreWorker
};

/** Changes by a group's owner. Applied only if the epoch is the group's current one and the
    sequence is greater than that of the last applied operation. */
struct GroupOperation
{
    GroupId group;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<WorkItem> items;
};

/** Header of a record that contains a snapshot of the whole state. */
struct SnapshotHeader
{
    std::uint64_t asOf = 0; ///< offset of the last record that the snapshot includes
};

using WorkRecord = std::variant<std::monostate, GroupClaim, GroupOperation, SnapshotHeader>;

/** Returns the payload of a record for the `work` stream. */
std::string encode(const GroupClaim &claim);
std::string encode(const GroupOperation &operation);

/** Decodes a payload; returns monostate if its type is unknown or it is malformed. */
WorkRecord decodeWorkRecord(std::string_view payload);

} // namespace bulrush
