#pragma once

#include "bulrush_steps/dispatch/Dispatcher.h"

#include <map>
#include <optional>
#include <string>

namespace bulrush {

/** The status that a node reports to operators. */
struct NodeStatus
{
    std::string node;
    std::string dataCentre;
    Duration uptime {};
    bool ready = false;
    bool draining = false;
    bool owner = false;
    std::uint64_t fencingToken = 0;
    std::uint64_t configVersion = 0;
    /** The evacuation requests in force, and the present time, from which their ages follow. */
    std::map<DataCentreId, EvacuationRequest> evacuations;
    Instant now {};
    bool storeLost = false;
    /** Time since the store last answered. */
    Duration storeSilence {};
};

/** Returns a node's status as JSON, with the field names of the status of a daemon that runs
    without a platform. An owner's status lists its workers, with the number of runs on each. */
std::string statusJson(const NodeStatus &status, const Dispatcher &dispatcher);

/** Returns the states of a job's steps and its runs as JSON; none when this node does not know the
    job. */
std::optional<std::string> explainJson(const JobId &job, const StepJobTable &table,
                                       const Dispatcher &dispatcher);

} // namespace bulrush
