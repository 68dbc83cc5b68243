#pragma once

#include "bulrush_tasks/model/Task.h"

#include <optional>
#include <span>
#include <vector>

namespace bulrush {

/** A task to be placed on a worker. */
struct PlacementRequest
{
    TaskId task;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    bool urgent = false;
    std::span<const VmId> failedOn; ///< workers on which the task failed before
};

/** A worker that may be given new work. */
struct PlacementCandidate
{
    VmId worker;
    Resources capacity;
    Resources free;
};

/** Chooses a worker for a task. The caller checks the choice against the worker's ledger. */
class PlacementStrategy
{
public:
    PlacementStrategy() = default;
    virtual ~PlacementStrategy() = default;

    PlacementStrategy(const PlacementStrategy &) = delete;
    PlacementStrategy &operator=(const PlacementStrategy &) = delete;

    /** Returns a worker with enough free resources, or nothing. */
    virtual std::optional<VmId> choose(const PlacementRequest &request,
                                       std::span<const PlacementCandidate> candidates) = 0;
};

/** Chooses the first worker with enough free resources; one on which the task failed before only if
    there is no other. */
class FirstFit : public PlacementStrategy
{
public:
    std::optional<VmId> choose(const PlacementRequest &request,
                               std::span<const PlacementCandidate> candidates) override;
};

} // namespace bulrush
