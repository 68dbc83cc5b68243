#pragma once

#include "bulrush_core/ids/Id.h"

#include <span>

namespace bulrush::routing {

/** A node of the system and where it stands. */
struct NodePlace
{
    NodeId id;
    DataCentreId dataCentre;
};

/** Most nodes that use one target; more nodes than that take subsets of the targets. */
constexpr std::size_t nodesPerTarget = 9;

/** Returns a node's share of a target's connections, at least one. */
unsigned connectionShare(unsigned connections, std::size_t nodes);

/**
    Returns whether a node is among those that use a target.

    Every node uses every target up to nodesPerTarget nodes. Beyond that each target is used by
    nodesPerTarget of them: those of its own data centre first, in the order of a hash of both
    names, so that one node more or less changes few pairs.
*/
bool usesTarget(const NodePlace &node, std::span<const NodePlace> nodes, const TargetId &target,
                const DataCentreId &targetDataCentre);

} // namespace bulrush::routing
