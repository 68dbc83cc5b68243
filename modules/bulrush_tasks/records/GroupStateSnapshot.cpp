#include "bulrush_tasks/records/GroupState.h"

#include <nlohmann/json.hpp>

namespace bulrush {

using nlohmann::json;

namespace {

json taskJson(const TaskId &id, const TaskState &task)
{
    json failedOn = json::array();
    for (const VmId &worker : task.failedOn) {
        failedOn.push_back(worker.name());
    }
    return { id.job.name(),      id.index,           task.lastAttempt,
             task.open,          task.final,         static_cast<int>(task.outcome),
             task.epoch,         task.worker.name(), static_cast<int>(task.kind),
             task.need.cpuMilli, task.need.memoryMb, task.need.accelerators,
             task.runMs,         task.checkpoint,    failedOn };
}

TaskState taskFrom(const json &value)
{
    TaskState task { value.at(2),
                     value.at(3),
                     value.at(4),
                     static_cast<Outcome>(value.at(5).get<int>()),
                     value.at(6),
                     VmId(value.at(7).get<std::string>()),
                     static_cast<TaskKind>(value.at(8).get<int>()),
                     { value.at(9), value.at(10), value.at(11) },
                     value.at(12),
                     value.at(13),
                     {} };
    for (const json &worker : value.at(14)) {
        task.failedOn.emplace_back(worker.get<std::string>());
    }
    return task;
}

} // namespace

std::string GroupState::snapshot(std::uint64_t asOf) const
{
    json tasks = json::array();
    for (const auto &[id, task] : this->taskStates) {
        tasks.push_back(taskJson(id, task));
    }
    return json {
        { "type", "snapshot" },
        { "asOf", asOf },
        { "epoch", this->fenced.epoch() },
        { "sequence", this->fenced.sequence() },
        { "tasks", tasks }
    }.dump();
}

std::optional<StreamSnapshot<GroupState>> GroupState::decodeSnapshot(std::string_view payload)
{
    const json record = json::parse(payload, nullptr, false);
    if (!record.is_object() || record.value("type", "") != "snapshot") {
        return std::nullopt;
    }
    StreamSnapshot<GroupState> result;
    result.asOf = record.at("asOf");
    result.state.fenced.restore(record.at("epoch"), record.at("sequence"));
    result.state.lastApplied = { result.state.fenced.epoch(), result.state.fenced.sequence() };
    result.state.snapshotOffset = result.asOf;
    for (const json &value : record.at("tasks")) {
        const TaskId id { JobId(value.at(0).get<std::string>()), value.at(1) };
        result.state.taskStates.emplace(id, taskFrom(value));
    }
    return result;
}

} // namespace bulrush
