#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_interference/estimates/BatchClassId.h"
#include "bulrush_placement/view/Resources.h"

#include <string>
#include <vector>

namespace bulrush::placement {

/** The tasks of one batch class on one worker. */
struct ClassLoad
{
    BatchClassId batchClass;
    Resources declared;
    int count = 0;
};

/** The replicas of one service on one worker. */
struct ServiceLoad
{
    ServiceId service;
    Resources declared;
    int count = 0;
    double addedSlowdown = 0; ///< expected, caused by all batch tasks on the worker
};

/** The properties of a worker that scheduling decisions use. */
struct WorkerView
{
    VmId id;
    DataCentreId dataCentre;
    std::string rack;
    Resources capacity;
    Resources committed; ///< sum of the declared sizes; never exceeds the capacity
    Resources expectedUsage; ///< of the tasks that run on it; may exceed the capacity
    bool isLeaving = false; ///< accepts no new tasks
    bool isSetAside = false; ///< fails every task; accepts no new tasks
    JobId reservedFor; ///< long-waiting task that the worker is reserved for; empty for none
    std::vector<ClassLoad> classes;
    std::vector<ServiceLoad> services;

    /** Returns the capacity that is not committed. */
    Resources uncommitted() const { return this->capacity - this->committed; }
};

} // namespace bulrush::placement
