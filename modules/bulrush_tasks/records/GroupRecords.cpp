#include "bulrush_tasks/records/GroupRecords.h"

#include <nlohmann/json.hpp>

namespace bulrush {

using nlohmann::json;

namespace {

/** Records are arrays, not objects, as field names would make up most of a batch's bytes. */
json recordJson(const IntentRecord &record)
{
    return { "i",
             record.attempt.task.job.name(),
             record.attempt.task.index,
             record.attempt.attempt,
             record.worker.name(),
             static_cast<int>(record.kind),
             record.need.cpuMilli,
             record.need.memoryMb,
             record.need.accelerators,
             record.runMs,
             record.checkpoint };
}

json recordJson(const EndRecord &record)
{
    return { "e",
             record.attempt.task.job.name(),
             record.attempt.task.index,
             record.attempt.attempt,
             static_cast<int>(record.outcome),
             record.checkpoint,
             record.result };
}

json recordJson(const CheckpointRecord &record)
{
    return { "c", record.attempt.task.job.name(), record.attempt.task.index, record.attempt.attempt,
             record.checkpoint };
}

json recordJson(const DropRecord &record)
{
    return { "d", record.job.name(), record.first, record.last };
}

AttemptId attemptFrom(const json &value)
{
    return { { JobId(value.at(1).get<std::string>()), value.at(2) }, value.at(3) };
}

std::optional<GroupRecord> recordFrom(const json &value)
{
    const std::string type = value.at(0);
    if (type == "i") {
        return IntentRecord { attemptFrom(value),
                              VmId(value.at(4).get<std::string>()),
                              static_cast<TaskKind>(value.at(5).get<int>()),
                              { value.at(6), value.at(7), value.at(8) },
                              value.at(9),
                              value.at(10) };
    }
    if (type == "e") {
        return EndRecord { attemptFrom(value), static_cast<Outcome>(value.at(4).get<int>()),
                           value.at(5), value.at(6) };
    }
    if (type == "c") {
        return CheckpointRecord { attemptFrom(value), value.at(4) };
    }
    if (type == "d") {
        return DropRecord { JobId(value.at(1).get<std::string>()), value.at(2), value.at(3) };
    }
    return std::nullopt;
}

} // namespace

std::string encode(const GroupBatch &batch)
{
    json records = json::array();
    for (const GroupRecord &record : batch.records) {
        records.push_back(std::visit([](const auto &kind) { return recordJson(kind); }, record));
    }
    return json {
        { "epoch", batch.epoch }, { "sequence", batch.sequence }, { "records", records }
    }.dump();
}

std::optional<GroupBatch> decodeGroupBatch(std::string_view payload)
{
    const json value = json::parse(payload, nullptr, false);
    if (!value.is_object() || !value.contains("records")) {
        return std::nullopt;
    }
    try {
        GroupBatch batch { value.at("epoch"), value.at("sequence"), {} };
        for (const json &record : value.at("records")) {
            if (auto decoded = recordFrom(record)) {
                batch.records.push_back(std::move(*decoded));
            }
        }
        return batch;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace bulrush
