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
    Returns the specification of a run of a job or watcher, as its record declares it.

    @param run the id of the run in the work and group streams, @see runOf()
*/
JobSpec jobSpecOf(const Record &record, const JobId &run);

/**
    Returns the id of a run in the work and group streams: the job's name, '.' and eight hex digits
    of a hash of the id of the record that began the run. All nodes derive the same id. A name that
    is published again after its end gets another one.
*/
JobId runOf(std::string_view name, std::string_view firstRecordId);

/** Returns the current or last run of a job or watcher, or nothing when none is known. */
std::optional<JobId> runOf(const RecordState &records, std::string_view name);

/**
    Updates a JobRegistry from the records in force: adds the runs of jobs and watchers, marks
    cancelled runs, removes runs whose record is no longer in force, and sets the quotas.
*/
class JobSource
{
public:
    /** @param dataCentre jobs that require another data centre are ignored */
    explicit JobSource(DataCentreId dataCentre)
        : ownDataCentre(std::move(dataCentre))
    {
    }

    /** Applies the changes since the last call. */
    void update(const RecordState &records);

    /** Returns the batch class of each job and watcher in the registry. */
    const BatchClasses &batchClasses() const { return this->classesByRun; }

    const JobRegistry &registry() const { return this->jobRegistry; }

    /** The name of the job or watcher of a run, and the record that currently declares it. */
    struct Declaration
    {
        std::string name;
        std::string recordId;
    };

    /** Returns the declarations of the runs in the registry. */
    const std::map<JobId, Declaration> &declarations() const { return this->runDeclarations; }

private:
    void updateRun(const Record &record, const JobId &run);

    bool runsHere(const Record &record) const;

    const DataCentreId ownDataCentre;
    JobRegistry jobRegistry;
    BatchClasses classesByRun;
    std::map<JobId, Declaration> runDeclarations;
};

} // namespace bulrush
