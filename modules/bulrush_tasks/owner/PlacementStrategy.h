#pragma once

#include "bulrush_tasks/model/Task.h"

#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A task that is to be placed. */
struct PlacementRequest
{
    TaskId task;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    bool urgent = false;
    std::span<const VmId> failedOn; ///< workers on which the task failed before
};

/** A worker that may take work. */
struct PlacementCandidate
{
    VmId worker;
    Resources capacity;
    Resources free;
};

/** Chooses a worker. The choice is checked against the worker's ledger afterwards. */
class PlacementStrategy
{
public:
    PlacementStrategy() = default;
    virtual ~PlacementStrategy() = default;

    PlacementStrategy(const PlacementStrategy &) = delete;
    PlacementStrategy &operator=(const PlacementStrategy &) = delete;

    /** Returns a worker with room, or nothing. */
    virtual std::optional<VmId> choose(const PlacementRequest &request,
                                       std::span<const PlacementCandidate> candidates) = 0;
};

/** Takes the first worker with room, one on which the task failed only if there is no other. */
class FirstFit : public PlacementStrategy
{
public:
    std::optional<VmId> choose(const PlacementRequest &request,
                               std::span<const PlacementCandidate> candidates) override;
};

} // namespace bulrush
