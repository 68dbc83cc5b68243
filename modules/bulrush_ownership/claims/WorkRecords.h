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
    std::string id; ///< distinct for each claim of each process
    GroupId group;
    NodeId node;
    Epoch epoch = 0;
};

/** What a group's owner changes in the state that all nodes share. */
enum class WorkChange : std::uint8_t {
    ClaimTasks, ///< the group takes a free range of a job's tasks
    ReturnTasks, ///< the group gives a range back
    CompleteTasks, ///< every task of the range has its final end on record
    RevokeWorker, ///< nobody renews this worker's leases any more
    RestoreWorker, ///< the worker's leases are renewed again
};

/** One change of the shared state. */
struct WorkItem
{
    WorkChange change = WorkChange::ClaimTasks;
    JobId job;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint32_t attempt = 0; ///< ReturnTasks of one task: its last attempt, which has ended
    std::string checkpoint; ///< ReturnTasks of one task: where its next attempt resumes
    VmId worker; ///< RevokeWorker, RestoreWorker
};

/** Changes by a group's owner. Applied when of the present epoch and of a greater sequence. */
struct GroupOperation
{
    GroupId group;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<WorkItem> items;
};

/** Marks a record that carries a snapshot of the whole state. */
struct SnapshotMark
{
    std::uint64_t asOf = 0; ///< the offset of the last record that it includes
};

using WorkRecord = std::variant<std::monostate, GroupClaim, GroupOperation, SnapshotMark>;

/** Returns a record's payload for the `work` stream. */
std::string encode(const GroupClaim &claim);
std::string encode(const GroupOperation &operation);

/** Returns the record in a payload; monostate for anything unknown or malformed. */
WorkRecord decodeWorkRecord(std::string_view payload);

} // namespace bulrush
