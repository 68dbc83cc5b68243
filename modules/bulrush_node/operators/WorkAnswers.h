#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_node/groups/GroupManager.h"
#include "bulrush_node/operators/OperatorsApi.h"

#include <string>
#include <vector>

namespace bulrush {

/** Returns the worker groups of this node's data centre as a JSON array. */
std::string groupsJson(const GroupManager &manager);

/**
    Says where a job or a task stands and why: which group holds it, which worker runs it, what it
    waits for.

    @param rest "job" and NAME, "task" and NAME#N, or "task", NAME and N; names as operators give
           them, without the run
*/
HttpResponse explainAnswer(const GroupManager &manager, const RecordState &records,
                           const std::vector<std::string> &rest);

} // namespace bulrush
