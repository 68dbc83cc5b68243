#pragma once

#include "World.h"

#include <optional>
#include <string>

namespace bulrush::explorer {

/** What one seed is run with. */
struct Trial
{
    std::uint64_t seed = 1;
    Guards guards;
    WorkerHelp help;
    std::uint64_t without = 0; ///< bits of the kinds of trouble that are left out
};

/** What one seed found. */
struct Finding
{
    Trial trial;
    std::string fault;
    std::vector<std::string> trace;
};

/** Runs one seed: a time of trouble, then a quiet time in which all work must finish. */
std::optional<Finding> explore(const Trial &trial);

/** Runs seeds from first on until one finds a fault, which is reduced to the kinds of trouble that
    it needs. */
std::optional<Finding> exploreSeeds(const Trial &base, std::uint64_t first, std::uint64_t count);

/** Returns a finding as text: seed, fault, kinds of trouble, the end of the trace. */
std::string describe(const Finding &finding);

} // namespace bulrush::explorer
