#include "bulrush_ownership/claims/WorkRecords.h"

#include <nlohmann/json.hpp>

namespace bulrush {

using nlohmann::json;

namespace {

GroupClaim claimFrom(const json &record)
{
    return { record.at("id"), GroupId(record.at("group").get<std::string>()),
             NodeId(record.at("node").get<std::string>()), record.at("epoch") };
}

WorkItem itemFrom(const json &value)
{
    WorkItem item;
    item.change = static_cast<WorkChange>(value.at("change").get<int>());
    item.job = JobId(value.value("job", ""));
    item.first = value.value("first", 0U);
    item.last = value.value("last", 0U);
    item.attempt = value.value("attempt", 0U);
    item.checkpoint = value.value("checkpoint", "");
    item.worker = VmId(value.value("worker", ""));
    return item;
}

GroupOperation operationFrom(const json &record)
{
    GroupOperation operation { GroupId(record.at("group").get<std::string>()),
                               record.at("epoch"),
                               record.at("sequence"),
                               {} };
    for (const json &item : record.at("items")) {
        operation.items.push_back(itemFrom(item));
    }
    return operation;
}

json itemJson(const WorkItem &item)
{
    json value { { "change", static_cast<int>(item.change) } };
    if (!item.worker.isEmpty()) {
        value["worker"] = item.worker.name();
        return value;
    }
    value["job"] = item.job.name();
    value["first"] = item.first;
    value["last"] = item.last;
    if (item.attempt > 0) {
        value["attempt"] = item.attempt;
        value["checkpoint"] = item.checkpoint;
    }
    return value;
}

} // namespace

std::string encode(const GroupClaim &claim)
{
    return json {
        { "type", "claim" },
        { "id", claim.id },
        { "group", claim.group.name() },
        { "node", claim.node.name() },
        { "epoch", claim.epoch }
    }.dump();
}

std::string encode(const GroupOperation &operation)
{
    json items = json::array();
    for (const WorkItem &item : operation.items) {
        items.push_back(itemJson(item));
    }
    return json {
        { "type", "operation" },
        { "group", operation.group.name() },
        { "epoch", operation.epoch },
        { "sequence", operation.sequence },
        { "items", items }
    }.dump();
}

WorkRecord decodeWorkRecord(std::string_view payload)
{
    const json record = json::parse(payload, nullptr, false);
    if (!record.is_object()) {
        return {};
    }
    try {
        const std::string type = record.value("type", "");
        if (type == "claim") {
            return claimFrom(record);
        }
        if (type == "operation") {
            return operationFrom(record);
        }
        if (type == "snapshot") {
            return SnapshotHeader { record.at("asOf") };
        }
    } catch (const json::exception &) {
        return {};
    }
    return {};
}

} // namespace bulrush
