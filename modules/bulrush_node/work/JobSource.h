#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_tasks/bulrush_tasks.h"

namespace bulrush {

/** Returns a job or watcher as its record declares it. */
JobSpec jobSpecOf(const Record &record);

/**
    Brings a JobBook to what the records in force say: adds jobs and watchers, marks the cancelled,
    removes those whose record is gone, sets the quotas.
*/
class JobSource
{
public:
    /** @param dataCentre jobs that name another one are left out */
    explicit JobSource(DataCentreId dataCentre)
        : ownDataCentre(std::move(dataCentre))
    {
    }

    /** Applies the differences to the last call. */
    void update(const RecordState &records);

    const JobBook &book() const { return this->jobBook; }

    /** Returns the record ids of the jobs and watchers that are in the book. */
    const std::map<JobId, std::string> &recordIds() const { return this->known; }

private:
    void take(const Record &record);

    bool runsHere(const Record &record) const;

    const DataCentreId ownDataCentre;
    JobBook jobBook;
    std::map<JobId, std::string> known;
};

} // namespace bulrush
