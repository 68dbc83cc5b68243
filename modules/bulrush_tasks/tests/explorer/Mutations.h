#pragma once

#include "Explorer.h"

#include <span>
#include <string_view>

namespace bulrush::explorer {

/** A guard that can be disabled. */
struct Mutation
{
    std::string_view name;
    bool Guards::*guard = nullptr;
    bool WorkerGuards::*workerGuard = nullptr; ///< used when guard is null
};

/** Returns one mutation for each guard of the modules and of the worker. */
std::span<const Mutation> mutations();

/** Returns a trial in which the mutation's guard is disabled. */
Trial mutatedTrial(const Mutation &mutation);

} // namespace bulrush::explorer
