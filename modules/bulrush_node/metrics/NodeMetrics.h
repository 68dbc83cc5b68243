#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

/** The node's metrics. Thread-safe. */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();

    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /** Records a completed request. @param outcome answered, not_run, unknown or duplicate */
    void recordRequest(const ServiceId &service, std::string_view outcome, Duration time);

    /** Increments a counter. docs/METRICS.md lists the names.
        @throws Error when no counter has this name
    */
    void count(std::string_view name, double amount = 1);

    /** Sets a gauge. @throws Error when no gauge has this name */
    void set(std::string_view name, double value);

    /** Returns all metrics in Prometheus' text format. */
    std::string text() const;

private:
    struct Families;

    std::unique_ptr<Families> families;
};

} // namespace bulrush
