#include "bulrush_node/groups/JobSource.h"

#include <array>
#include <cstdio>
#include <set>
#include <xxhash.h>

namespace bulrush {

namespace {

constexpr unsigned upperHalf = 32;

} // namespace

JobId runOf(std::string_view name, std::string_view firstRecordId)
{
    const XXH64_hash_t hash = XXH64(firstRecordId.data(), firstRecordId.size(), 0);
    std::array<char, 9> digits {};
    std::snprintf(digits.data(), digits.size(), "%08x", static_cast<unsigned>(hash >> upperHalf));
    return JobId(std::string(name) + '.' + digits.data());
}

std::optional<JobId> runOf(const RecordState &records, std::string_view name)
{
    const std::string first = records.runId(name);
    return first.empty() ? std::nullopt : std::optional(runOf(name, first));
}

JobSpec jobSpecOf(const Record &record, const JobId &run)
{
    const WorkBody body = readWorkBody(record);
    JobSpec spec;
    spec.job = run;
    spec.team = body.team;
    spec.kind = record.kind == kindName(RecordKind::Watcher) ? TaskKind::Watcher : TaskKind::Batch;
    spec.taskCount = static_cast<std::uint32_t>(body.tasks);
    spec.need = { body.cpuMilli, body.memoryMb, body.accelerators };
    spec.runMs = body.runTime ? body.runTime->count() : 0;
    spec.urgent = body.urgent;
    return spec;
}

void JobSource::update(const RecordState &records)
{
    std::set<JobId> present;
    for (const RecordKind kind : { RecordKind::Job, RecordKind::Watcher }) {
        for (const Record *record : records.inForce(kind)) {
            const std::optional<JobId> run = runOf(records, record->name);
            if (run && this->runsHere(*record)) {
                present.insert(*run);
                this->updateRun(*record, *run);
            }
        }
    }
    for (const Record *record : records.inForce(RecordKind::Cancellation)) {
        const std::optional<JobId> run = runOf(records, record->name);
        if (run && present.contains(*run)) {
            this->jobRegistry.cancel(*run);
        }
    }
    for (const Record *record : records.inForce(RecordKind::Quota)) {
        const QuotaBody quota = readQuotaBody(*record);
        this->jobRegistry.setQuota(quota.team,
                                   { quota.cpuMilli, quota.memoryMb, quota.accelerators });
    }
    std::erase_if(this->runDeclarations, [this, &present](const auto &entry) {
        const bool removed = !present.contains(entry.first);
        if (removed) {
            this->jobRegistry.remove(entry.first);
            this->classesByRun.erase(entry.first);
        }
        return removed;
    });
}

bool JobSource::runsHere(const Record &record) const
{
    const std::optional<DataCentreId> wanted = readWorkBody(record).dataCentre;
    return !wanted || *wanted == this->ownDataCentre;
}

void JobSource::updateRun(const Record &record, const JobId &run)
{
    Declaration &declaration = this->runDeclarations[run];
    if (declaration.recordId != record.id) {
        declaration = { record.name, record.id };
        this->jobRegistry.add(jobSpecOf(record, run));
        this->classesByRun[run] = BatchClassId(readWorkBody(record).batchClass);
    }
}

} // namespace bulrush
