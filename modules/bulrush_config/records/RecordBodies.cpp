#include "bulrush_config/records/RecordBodies.h"

#include "bulrush_core/errors/Error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::array outcomeNames { "finished", "cancelled", "failed" };

json bodyOf(const Record &record, std::initializer_list<RecordKind> expected)
{
    for (const RecordKind kind : expected) {
        if (record.kind == kindName(kind)) {
            return json::parse(record.body);
        }
    }
    throw Error("read body", record.id, "unexpected record kind " + record.kind);
}

template<class Id>
Id idAt(const json &object, const char *field)
{
    return Id(object.at(field).get<std::string>());
}

} // namespace

ServiceBody readServiceBody(const Record &record)
{
    const json body = bodyOf(record, { RecordKind::Service });
    ServiceBody service;
    service.team = idAt<TeamId>(body, "team");
    service.deadline = milliseconds(body.at("deadlineMs").get<std::int64_t>());
    service.replicas = body.value("replicas", 0);
    for (const json &target : body.at("targets")) {
        service.targets.push_back({ idAt<TargetId>(target, "target"),
                                    idAt<DataCentreId>(target, "dataCentre"),
                                    { target.at("address"), target.at("port") },
                                    target.at("slots") });
    }
    return service;
}

WorkBody readWorkBody(const Record &record)
{
    const json body = bodyOf(record, { RecordKind::Job, RecordKind::Watcher });
    WorkBody work;
    work.team = idAt<TeamId>(body, "team");
    work.tasks = body.at("tasks");
    work.batchClass = body.at("batchClass");
    work.cpuMilli = body.at("cpuMilli");
    work.memoryMb = body.at("memoryMb");
    work.accelerators = body.value("accelerators", 0);
    work.urgent = body.value("urgent", false);
    if (body.contains("runMs")) {
        work.runTime = milliseconds(body.at("runMs").get<std::int64_t>());
    }
    if (body.contains("dataCentre")) {
        work.dataCentre = idAt<DataCentreId>(body, "dataCentre");
    }
    return work;
}

QuotaBody readQuotaBody(const Record &record)
{
    const json body = bodyOf(record, { RecordKind::Quota });
    return { idAt<TeamId>(body, "team"), body.at("cpuMilli"), body.at("memoryMb"),
             body.at("accelerators") };
}

TargetsBody readTargetsBody(const Record &record)
{
    const json body = bodyOf(record, { RecordKind::Targets });
    TargetsBody targets;
    for (const json &name : body.at("leaving")) {
        targets.leaving.emplace_back(name.get<std::string>());
    }
    return targets;
}

PolicyBody readPolicyBody(const Record &record)
{
    const json body = bodyOf(record, { RecordKind::Policy });
    return { body.at("tailLatency"), body.at("throughput"), body.at("evictions") };
}

Record jobDoneRecord(const Record &work, std::string_view id, const NodeId &publisher,
                     JobOutcome outcome)
{
    const json body { { "job", work.name },
                      { "outcome", outcomeNames.at(static_cast<std::size_t>(outcome)) } };
    return { "job-done/1", "job-done",       work.name,  std::string(id),
             work.id,      publisher.name(), body.dump() };
}

} // namespace bulrush
