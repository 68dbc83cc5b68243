#pragma once

#include "bulrush_core/ids/Id.h"

#include <span>

namespace bulrush::routing {

/** A node of the system and its data centre. */
struct NodeLocation
{
    NodeId id;
    DataCentreId dataCentre;
};

/** Maximum number of nodes that use a target. If there are more, each node uses a subset of the
    targets. */
constexpr std::size_t nodesPerTarget = 9;

/** Returns the number of connections of a target that one node may use, at least one. */
unsigned connectionShare(unsigned connections, std::size_t nodes);

/**
    Returns whether a node is among those that use a target.

    With up to nodesPerTarget nodes, every node uses every target. With more nodes, each target is
    used by nodesPerTarget of them: nodes of its own data centre first, then by a hash of both
    names (rendezvous hashing), so that adding or removing a node changes few assignments.
*/
bool usesTarget(const NodeLocation &node, std::span<const NodeLocation> nodes,
                const TargetId &target, const DataCentreId &targetDataCentre);

} // namespace bulrush::routing
