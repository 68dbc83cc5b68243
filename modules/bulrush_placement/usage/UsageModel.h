#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/view/Resources.h"
#include "bulrush_placement/view/TaskView.h"

#include <unordered_map>

namespace bulrush::placement {

/** Constants of the usage model. */
struct UsageSettings
{
    double learningRate = 0.1; ///< weight of one report in the running mean
    double reportsForHalfWeight = 3.0; ///< reports after which the claim counts one half
    double maxRatio = 8.0; ///< bound on used over declared
    double memoryMargin = 1.0; ///< deviations added to the mean of memory
};

/**
    What batch classes and services really use, learned from lagging reports.

    Declared sizes are claims; the model keeps the ratio of used to declared for each class and
    service, and trusts the claim less the more reports there are.
*/
class UsageModel
{
public:
    explicit UsageModel(const UsageSettings &settings = {})
        : settings(settings)
    {
    }

    /** Takes in the use of all tasks of one class on a worker. */
    void observe(const BatchClassId &batchClass, const Resources &declared, const Resources &used);

    /** Takes in the use of all replicas of one service on a worker. */
    void observe(const ServiceId &service, const Resources &declared, const Resources &used);

    /** Returns the use to expect of tasks of a class that declared so much. */
    Resources expected(const BatchClassId &batchClass, const Resources &declared) const;

    /** Returns the use to expect of replicas of a service that declared so much. */
    Resources expected(const ServiceId &service, const Resources &declared) const;

    /** Returns the use to expect of one task. */
    Resources expected(const TaskView &task) const;

private:
    struct Ratio
    {
        double mean = 1;
        double deviation = 0;
    };

    struct Entry
    {
        Ratio cpu;
        Ratio memory;
        double reports = 0;
    };

    void update(Entry &entry, const Resources &declared, const Resources &used) const;
    void updateRatio(Ratio &ratio, std::int64_t declared, std::int64_t used, double rate) const;
    Resources expectedOf(const Entry &entry, const Resources &declared) const;

    UsageSettings settings;
    std::unordered_map<BatchClassId, Entry> classes;
    std::unordered_map<ServiceId, Entry> services;
};

} // namespace bulrush::placement
