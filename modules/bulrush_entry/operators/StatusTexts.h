#pragma once

#include "bulrush_steps/dispatch/Dispatcher.h"

#include <optional>
#include <string>

namespace bulrush {

/** What a node says of itself to operators. */
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
    bool storeLost = false;
    /** Since the store last answered. */
    Duration storeSilence {};
};

/** Returns a node's status as JSON, with the names of the daemon's own status; with the workers and
 * their runs when it is the owner. */
std::string statusText(const NodeStatus &status, const Dispatcher &dispatcher);

/** Returns where a job's tasks are and why, as JSON; none when the job is not known here. */
std::optional<std::string> explainText(const JobId &job, const StepJobBook &book,
                                       const Dispatcher &dispatcher);

} // namespace bulrush
