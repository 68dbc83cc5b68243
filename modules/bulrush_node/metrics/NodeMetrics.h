#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

/** The node's metrics. Safe to use from several threads. */
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();

    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /** Counts a request's end. @param outcome answered, not_run, unknown or duplicate */
    void requestEnded(const ServiceId &service, std::string_view outcome, Duration time);

    /** Counts something by name; the names are listed in docs/METRICS.md. */
    void count(std::string_view name, double amount = 1);

    /** Sets a value that goes up and down. */
    void set(std::string_view name, double value);

    /** Returns all metrics in Prometheus' text format. */
    std::string text() const;

private:
    struct Families;

    std::unique_ptr<Families> families;
};

} // namespace bulrush
