#pragma once

#include "bulrush_config/records/Record.h"
#include "bulrush_config/settings/NodeSettings.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** One target of a service. */
struct ServiceTarget
{
    TargetId target;
    DataCentreId dataCentre;
    Endpoint endpoint;
    int slots = 8;
};

/** Body of a service record. Version 1 has no replicas. */
struct ServiceBody
{
    TeamId team;
    std::vector<ServiceTarget> targets;
    milliseconds deadline {};
    int replicas = 0;
};

/** Body of a job or watcher record. */
struct WorkBody
{
    TeamId team;
    int tasks = 0;
    std::string batchClass;

    /** Declared size of each task. */
    int cpuMilli = 0;
    int memoryMb = 0;
    int accelerators = 0;

    /** Declared run time of each task; empty for a watcher. */
    std::optional<milliseconds> runTime;

    bool urgent = false;

    /** The only data centre in which the tasks may run, if set. */
    std::optional<DataCentreId> dataCentre;
};

/** Body of a quota record, which limits the resources of a team. */
struct QuotaBody
{
    TeamId team;
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

/** Body of a targets record, which lists the leaving targets. */
struct TargetsBody
{
    std::vector<TargetId> leaving;
};

/** Body of a policy record: the weight of each measure. */
struct PolicyBody
{
    double tailLatency = 1.0;
    double throughput = 1.0;
    double evictions = 1.0;
};

/** How a job or watcher ended. */
enum class JobOutcome : std::uint8_t { Finished, Cancelled, Failed };

// Each function reads an accepted record of its kind and throws Error for a record of another kind.

ServiceBody readServiceBody(const Record &record);
WorkBody readWorkBody(const Record &record);
QuotaBody readQuotaBody(const Record &record);
TargetsBody readTargetsBody(const Record &record);
PolicyBody readPolicyBody(const Record &record);

/**
    Returns the record with which the system reports that a job or watcher has ended.

    @param work      the job's or watcher's record in force
    @param id        unique id of the new record
    @param publisher the node of the job's owner
*/
Record jobDoneRecord(const Record &work, std::string_view id, const NodeId &publisher,
                     JobOutcome outcome);

} // namespace bulrush
