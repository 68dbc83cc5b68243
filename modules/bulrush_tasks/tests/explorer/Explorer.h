#pragma once

#include "World.h"

#include <optional>
#include <string>

namespace bulrush::explorer {

/** The parameters of one simulation run. */
struct Trial
{
    std::uint64_t seed = 1;
    Guards guards;
    WorkerGuards workerGuards;
    std::uint64_t disabledFaults = 0; ///< bit mask of the kinds of fault that are not injected
};

/** The failure that a trial found. */
struct Finding
{
    Trial trial;
    std::string failure;
    std::vector<std::string> trace;
};

/** Runs one seed: a phase with injected faults, then one without faults in which all jobs must
    finish, unless retention has removed records of the log that no snapshot covers.
    @returns the failure, or nothing when the seed passes */
std::optional<Finding> explore(const Trial &trial);

/** Runs seeds from first on until one fails. The finding is reduced to the kinds of fault that are
    needed to reproduce it. */
std::optional<Finding> exploreSeeds(const Trial &base, std::uint64_t first, std::uint64_t count);

/** Injects each kind of fault several times into the initial world of a seed. The time stands still
    and no message is sent, so that the result depends on the draws alone and not on the scheduler.
    @returns the trace, which names what was drawn for each fault */
std::vector<std::string> injectEachKind(std::uint64_t seed);

/** Returns a finding as text: seed, failure, required kinds of fault, and the end of the trace. */
std::string describe(const Finding &finding);

} // namespace bulrush::explorer
