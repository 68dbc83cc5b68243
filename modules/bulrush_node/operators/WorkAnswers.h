#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_node/groups/GroupManager.h"
#include "bulrush_node/operators/OperatorsApi.h"

#include <string>
#include <vector>

namespace bulrush {

/** Returns the worker groups of this node's data centre as the text of a JSON array. */
std::string groupsJson(const GroupManager &manager);

/**
    Returns the state of a job or a task: the groups that hold it, the worker that runs it, and what
    it waits for.

    @param rest "job" and NAME, "task" and NAME#N, or "task", NAME and N. NAME is the name of the
           record, without the suffix of the run.
*/
HttpResponse explainAnswer(const GroupManager &manager, const RecordState &records,
                           const std::vector<std::string> &rest);

} // namespace bulrush
