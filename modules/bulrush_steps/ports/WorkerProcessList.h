#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>

namespace bulrush {

/** The workers whose processes run, as the provider of the VMs knows it. */
struct WorkerProcesses
{
    std::set<TargetId> running;
    /** The number of calls that reading them took. */
    std::uint32_t calls = 0;
};

/** Interface to the list of VMs, which also shows workers that no node can reach. */
class WorkerProcessList
{
public:
    using Callback = std::function<void(std::optional<WorkerProcesses>)>;

    WorkerProcessList() = default;
    virtual ~WorkerProcessList() = default;
    WorkerProcessList(const WorkerProcessList &) = delete;
    WorkerProcessList &operator=(const WorkerProcessList &) = delete;

    /** Reads the whole list. The callback is called once, after this function has returned, with
        nullopt when a part of the list could not be read.
        @param timeout for each call without progress; a reading may take several calls */
    virtual void read(Duration timeout, Callback callback) = 0;
};

} // namespace bulrush
