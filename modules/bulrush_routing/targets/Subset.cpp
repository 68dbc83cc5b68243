#include "bulrush_routing/targets/Subset.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

namespace bulrush::routing {

namespace {

/** FNV-1a with a final mixing step; yields the same value on every node. */
std::uint64_t hashOf(std::string_view first, std::string_view second)
{
    std::uint64_t hash = 14695981039346656037ULL;
    const auto add = [&hash](std::string_view text) {
        for (const char character : text) {
            hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
        }
        hash = (hash ^ 0xffU) * 1099511628211ULL;
    };
    add(first);
    add(second);
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

unsigned connectionShare(unsigned connections, std::size_t nodes)
{
    const std::size_t sharing = std::clamp<std::size_t>(nodes, 1, nodesPerTarget);
    return std::max(1U, connections / static_cast<unsigned>(sharing));
}

bool usesTarget(const NodeLocation &node, std::span<const NodeLocation> nodes,
                const TargetId &target, const DataCentreId &targetDataCentre)
{
    if (nodes.size() <= nodesPerTarget) {
        return true;
    }
    const auto rank = [&](const NodeLocation &location) {
        return std::pair(location.dataCentre == targetDataCentre ? 0 : 1,
                         hashOf(location.id.name(), target.name()));
    };
    const auto own = rank(node);
    const auto ahead = std::count_if(nodes.begin(), nodes.end(),
                                     [&](const NodeLocation &other) { return rank(other) < own; });
    return static_cast<std::size_t>(ahead) < nodesPerTarget;
}

} // namespace bulrush::routing
