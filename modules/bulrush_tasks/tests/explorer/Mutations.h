#pragma once

#include "Explorer.h"

#include <span>
#include <string_view>

namespace bulrush::explorer {

/** One rule that can be taken out. */
struct Mutation
{
    std::string_view name;
    bool Guards::*guard = nullptr;
    bool WorkerHelp::*help = nullptr; ///< used where guard is null
};

/** Returns every guard of the modules, and what they rest on at the worker. */
std::span<const Mutation> mutations();

/** Returns a trial without the mutation's rule. */
Trial mutated(const Mutation &mutation);

} // namespace bulrush::explorer
