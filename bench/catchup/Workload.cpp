#include "Workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrush::bench {

namespace {

using nlohmann::json;

constexpr int serviceCount = 160;
constexpr int targetsPerService = 63;
constexpr int teamCount = 86;
constexpr int policyCount = 2;
constexpr int runningJobCount = 2'000;

json serviceBody(std::mt19937 &random)
{
    json targets = json::array();
    for (int i = 0; i < targetsPerService; ++i) {
        targets.push_back({ { "target", "executor-" + std::to_string(i) },
                            { "dataCentre", "dc-" + std::to_string(i % 5) },
                            { "address", "10.20.30." + std::to_string(i) },
                            { "port", 19'101 },
                            { "slots", 8 } });
    }
    return { { "team", "team-1" },
             { "targets", targets },
             { "deadlineMs", 100 + random() % 400 },
             { "replicas", targetsPerService } };
}

json bodyOf(RecordKind kind, const std::string &name, std::mt19937 &random)
{
    const auto number = static_cast<int>(random() % 1'000);
    switch (kind) {
    case RecordKind::Service:
        return serviceBody(random);
    case RecordKind::Quota:
        return {
            { "team", name }, { "cpuMilli", number }, { "memoryMb", 1 }, { "accelerators", 0 }
        };
    case RecordKind::Policy:
        return { { "tailLatency", number }, { "throughput", 1 }, { "evictions", 1 } };
    case RecordKind::Targets:
        return { { "leaving", { "executor-" + std::to_string(number % targetsPerService) } } };
    default:
        return { { "team", "team-1" },  { "tasks", 1 + number % 20 }, { "batchClass", "batch-1" },
                 { "cpuMilli", 2'000 }, { "memoryMb", 4'000 },        { "runMs", 600'000 } };
    }
}

} // namespace

void Workload::appendInitialRecords()
{
    for (int i = 0; i < serviceCount; ++i) {
        this->append(this->makeRecord(RecordKind::Service, "service-" + std::to_string(i)));
        this->append(this->makeRecord(RecordKind::Targets, "service-" + std::to_string(i)));
    }
    for (int i = 0; i < teamCount; ++i) {
        this->append(this->makeRecord(RecordKind::Quota, "team-" + std::to_string(i)));
    }
    for (int i = 0; i < policyCount; ++i) {
        this->append(this->makeRecord(RecordKind::Policy, "policy-" + std::to_string(i)));
    }
}

void Workload::appendHours(const DayRates &rates, int hourCount)
{
    const int changes = rates.changes * hourCount / 24;
    const int jobs = rates.jobs * hourCount / 24;
    const int steps = std::max(changes, jobs);
    for (int step = 0; step < steps; ++step) {
        if (step * changes / steps != (step + 1) * changes / steps) {
            this->appendChange();
        }
        if (step * jobs / steps != (step + 1) * jobs / steps) {
            this->appendJobStart();
            this->appendJobEnd();
        }
    }
}

void Workload::append(const Record &record)
{
    this->entries.push_back(record.text());
    this->recordState.apply(this->entries.size() - 1, this->entries.back());
}

/** Appends a change of a target list in half of the cases, else of a service, quota or policy. */
void Workload::appendChange()
{
    const auto choice = this->random() % 10;
    const std::string service = "service-" + std::to_string(this->random() % serviceCount);
    if (choice < 5) {
        this->append(this->makeRecord(RecordKind::Targets, service));
    } else if (choice < 7) {
        this->append(this->makeRecord(RecordKind::Service, service));
    } else if (choice < 9) {
        this->append(this->makeRecord(RecordKind::Quota,
                                      "team-" + std::to_string(this->random() % teamCount)));
    } else {
        this->append(this->makeRecord(RecordKind::Policy,
                                      "policy-" + std::to_string(this->random() % policyCount)));
    }
}

void Workload::appendJobStart()
{
    const std::string name = "job-" + std::to_string(this->nextId);
    this->append(this->makeRecord(RecordKind::Job, name));
    this->runningJobs.push_back(name);
}

void Workload::appendJobEnd()
{
    if (this->runningJobs.size() <= runningJobCount) {
        return;
    }
    const std::size_t index = this->random() % this->runningJobs.size();
    const Record *job = this->recordState.find(RecordKind::Job, this->runningJobs[index]);
    const std::string id = "done-" + std::to_string(this->nextId++);
    this->append(jobDoneRecord(*job, id, NodeId("entry-1"), JobOutcome::Finished));
    this->runningJobs[index] = this->runningJobs.back();
    this->runningJobs.pop_back();
}

Record Workload::makeRecord(RecordKind kind, const std::string &name)
{
    const std::string kindText(kindName(kind));
    return { kindText + (kind == RecordKind::Service ? "/2" : "/1"),
             kindText,
             name,
             "id-" + std::to_string(this->nextId++),
             this->recordState.headId(kindText, name),
             "operator-1",
             bodyOf(kind, name, this->random).dump() };
}

} // namespace bulrush::bench
