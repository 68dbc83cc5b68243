#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_node/groups/LearnedPlacement.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/**
    Returns the run of a job or watcher as its record declares it.

    @param run the id that the work and group streams know the run by, @see runOf()
*/
JobSpec jobSpecOf(const Record &record, const JobId &run);

/**
    Returns the id that the work and group streams know a run by: the job's name, '.' and eight hex
    digits from the id of the record that began the run. The same on every node; a name that is
    published again after its end gets another one.
*/
JobId runOf(std::string_view name, std::string_view firstRecordId);

/** Returns the present or last run of a job or watcher, or nothing where none is remembered. */
std::optional<JobId> runOf(const RecordState &records, std::string_view name);

/**
    Brings a JobBook to what the records in force say: adds the runs of jobs and watchers, marks the
    cancelled, removes those whose record is gone, sets the quotas.
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

    /** Returns the batch class of each job and watcher in the book. */
    const BatchClasses &batchClasses() const { return this->classesByRun; }

    const JobBook &registry() const { return this->jobRegistry; }

    /** A run's job or watcher and the record that declares it now. */
    struct Declaration
    {
        std::string name;
        std::string recordId;
    };

    /** Returns the declarations of the runs that are in the book. */
    const std::map<JobId, Declaration> &declarations() const { return this->runDeclarations; }

private:
    void updateRun(const Record &record, const JobId &run);

    bool runsHere(const Record &record) const;

    const DataCentreId ownDataCentre;
    JobBook jobRegistry;
    BatchClasses classesByRun;
    std::map<JobId, Declaration> runDeclarations;
};

} // namespace bulrush
