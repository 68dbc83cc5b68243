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
    double learningRate = 0.1; ///< minimum weight of a report in the running mean
    double reportsForHalfWeight = 3.0; ///< reports at which the declared size counts one half
    double maxRatio = 8.0; ///< upper bound on used over declared
    double memoryMargin = 1.0; ///< mean absolute deviations added to the mean memory ratio
};

/**
    Learns the actual usage of batch classes and services from reports, which arrive late.

    Declared sizes may be wrong. The model keeps the ratio of used to declared for each class and
    service, and gives the declared size less weight as the number of reports grows.
*/
class UsageModel
{
public:
    explicit UsageModel(const UsageSettings &settings = {})
        : settings(settings)
    {
    }

    /** Records the reported usage of all tasks of one class on a worker. */
    void observe(const BatchClassId &batchClass, const Resources &declared, const Resources &used);

    /** Records the reported usage of all replicas of one service on a worker. */
    void observe(const ServiceId &service, const Resources &declared, const Resources &used);

    /** Returns the expected usage of tasks of a class with a total declared size. */
    Resources expected(const BatchClassId &batchClass, const Resources &declared) const;

    /** Returns the expected usage of replicas of a service with a total declared size. */
    Resources expected(const ServiceId &service, const Resources &declared) const;

    /** Returns the expected usage of one task. */
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
