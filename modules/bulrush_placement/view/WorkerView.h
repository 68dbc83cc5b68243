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
    double addedSlowdown = 0; ///< expected added slowdown by all batch tasks on the worker
};

/** What the decisions need to know of a worker. */
struct WorkerView
{
    VmId id;
    DataCentreId dataCentre;
    std::string rack;
    Resources capacity;
    Resources committed; ///< sum of declared sizes; never beyond the capacity
    Resources learned; ///< expected use of what runs there; may be beyond the capacity
    bool isLeaving = false; ///< gets nothing new
    bool isSetAside = false; ///< fails everything; gets nothing new
    JobId reservedFor; ///< kept for one task that waited long; empty for nobody
    std::vector<ClassLoad> classes;
    std::vector<ServiceLoad> services;

    /** Returns what is not committed. */
    Resources uncommitted() const { return this->capacity - this->committed; }
};

} // namespace bulrush::placement
