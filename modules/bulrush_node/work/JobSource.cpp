#include "bulrush_node/work/JobSource.h"

#include <set>

namespace bulrush {

JobSpec jobSpecOf(const Record &record)
{
    const WorkBody body = readWorkBody(record);
    JobSpec spec;
    spec.job = JobId(record.name);
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
            if (this->runsHere(*record)) {
                present.insert(JobId(record->name));
                this->take(*record);
            }
        }
    }
    for (const Record *record : records.inForce(RecordKind::Cancellation)) {
        this->jobBook.cancel(JobId(record->name));
    }
    for (const Record *record : records.inForce(RecordKind::Quota)) {
        const QuotaBody quota = readQuotaBody(*record);
        this->jobBook.setQuota(quota.team, { quota.cpuMilli, quota.memoryMb, quota.accelerators });
    }
    std::erase_if(this->known, [this, &present](const auto &entry) {
        const bool gone = !present.contains(entry.first);
        if (gone) {
            this->jobBook.remove(entry.first);
        }
        return gone;
    });
}

bool JobSource::runsHere(const Record &record) const
{
    const std::optional<DataCentreId> wanted = readWorkBody(record).dataCentre;
    return !wanted || *wanted == this->ownDataCentre;
}

void JobSource::take(const Record &record)
{
    std::string &id = this->known[JobId(record.name)];
    if (id != record.id) {
        id = record.id;
        this->jobBook.add(jobSpecOf(record));
    }
}

} // namespace bulrush
