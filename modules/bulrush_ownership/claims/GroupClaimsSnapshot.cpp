#include "bulrush_ownership/claims/GroupClaims.h"

#include <nlohmann/json.hpp>

namespace bulrush {

using nlohmann::json;

std::string GroupClaims::snapshot(std::uint64_t asOf) const
{
    json record { { "type", "snapshot" }, { "asOf", asOf } };
    json &ownerList = record["owners"] = json::array();
    for (const auto &[group, owner] : this->owners) {
        ownerList.push_back({ group.name(), owner.node.name(), owner.epoch, owner.claimId,
                              owner.lastOperation });
    }
    json &rangeList = record["ranges"] = json::array();
    for (const auto &[job, held] : this->ranges) {
        for (const auto &[first, range] : held) {
            rangeList.push_back(
                    { job.name(), first, range.last, range.group.name(), range.complete });
        }
    }
    json &carriedList = record["carried"] = json::array();
    for (const auto &[task, carriedTask] : this->carriedTasks) {
        carriedList.push_back(
                { task.first.name(), task.second, carriedTask.attempt, carriedTask.checkpoint });
    }
    json &revokedList = record["revoked"] = json::array();
    for (const VmId &worker : this->revoked) {
        revokedList.push_back(worker.name());
    }
    return record.dump();
}

std::optional<StreamSnapshot<GroupClaims>> GroupClaims::decodeSnapshot(std::string_view payload)
{
    const json record = json::parse(payload, nullptr, false);
    if (!record.is_object() || record.value("type", "") != "snapshot") {
        return std::nullopt;
    }
    StreamSnapshot<GroupClaims> result;
    result.asOf = record.at("asOf");
    GroupClaims &state = result.state;
    state.snapshotOffset = result.asOf;
    for (const json &owner : record.at("owners")) {
        state.owners[GroupId(owner.at(0).get<std::string>())] = {
            NodeId(owner.at(1).get<std::string>()), owner.at(2), owner.at(3), owner.at(4)
        };
    }
    for (const json &range : record.at("ranges")) {
        state.insertRange(JobId(range.at(0).get<std::string>()), range.at(1),
                          { range.at(2), GroupId(range.at(3).get<std::string>()), range.at(4) });
    }
    for (const json &task : record.at("carried")) {
        state.carriedTasks[{ JobId(task.at(0).get<std::string>()), task.at(1) }] = { task.at(2),
                                                                                     task.at(3) };
    }
    for (const json &worker : record.at("revoked")) {
        state.revoked.insert(VmId(worker.get<std::string>()));
    }
    return result;
}

} // namespace bulrush
