#include "bulrush_node/metrics/NodeMetrics.h"

#include "bulrush_core/errors/Error.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

namespace bulrush {

namespace {

struct MetricInfo
{
    std::string_view name;
    std::string_view help;
};

constexpr std::array counterInfos {
    MetricInfo { "bulrush_evictions_total", "Attempts ended by an eviction." },
    MetricInfo { "bulrush_batch_tasks_finished_total", "Batch tasks whose end is on record." },
    MetricInfo { "bulrush_task_starts_total", "Attempts sent to a worker." },
    MetricInfo { "bulrush_log_appends_total", "Appends sent to the platform's log." },
    MetricInfo { "bulrush_log_append_failures_total", "Appends with no answer." },
    MetricInfo { "bulrush_peer_frames_sent_total", "Frames sent to other nodes." },
    MetricInfo { "bulrush_peer_bytes_sent_total", "Bytes sent to other nodes." },
    MetricInfo { "bulrush_retries_total", "Requests sent again to a target." },
};

constexpr std::array gaugeInfos {
    MetricInfo { "bulrush_records_offset", "Offset of the next record not yet in force here." },
    MetricInfo { "bulrush_log_available", "1 while the platform's log answers." },
    MetricInfo { "bulrush_peers_connected", "Nodes with an open link." },
    MetricInfo { "bulrush_requests_in_flight", "Requests not yet answered." },
    MetricInfo { "bulrush_groups_owned", "Worker groups that this node owns." },
};

const prometheus::Histogram::BucketBoundaries secondsBuckets {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
};

} // namespace

struct NodeMetrics::Families
{
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests =
            prometheus::BuildCounter()
                    .Name("bulrush_requests_total")
                    .Help("Requests ended, by service and outcome.")
                    .Register(this->registry);
    prometheus::Family<prometheus::Histogram> &requestTime =
            prometheus::BuildHistogram()
                    .Name("bulrush_request_seconds")
                    .Help("Time from a request's arrival to its end, by service.")
                    .Register(this->registry);
    std::map<std::string, prometheus::Counter *, std::less<>> counters;
    std::map<std::string, prometheus::Gauge *, std::less<>> gauges;
};

NodeMetrics::NodeMetrics()
    : families(std::make_unique<Families>())
{
    for (const MetricInfo &info : counterInfos) {
        auto &family = prometheus::BuildCounter()
                               .Name(std::string(info.name))
                               .Help(std::string(info.help))
                               .Register(this->families->registry);
        this->families->counters.emplace(info.name, &family.Add({}));
    }
    for (const MetricInfo &info : gaugeInfos) {
        auto &family = prometheus::BuildGauge()
                               .Name(std::string(info.name))
                               .Help(std::string(info.help))
                               .Register(this->families->registry);
        this->families->gauges.emplace(info.name, &family.Add({}));
    }
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::recordRequest(const ServiceId &service, std::string_view outcome, Duration time)
{
    const std::string &name = service.name();
    this->families->requests.Add({ { "service", name }, { "outcome", std::string(outcome) } })
            .Increment();
    this->families->requestTime.Add({ { "service", name } }, secondsBuckets)
            .Observe(std::chrono::duration<double>(time).count());
}

void NodeMetrics::count(std::string_view name, double amount)
{
    const auto found = this->families->counters.find(name);
    if (found == this->families->counters.end()) {
        throw Error("count", "", "unknown metric " + std::string(name));
    }
    found->second->Increment(amount);
}

void NodeMetrics::set(std::string_view name, double value)
{
    const auto found = this->families->gauges.find(name);
    if (found == this->families->gauges.end()) {
        throw Error("set", "", "unknown metric " + std::string(name));
    }
    found->second->Set(value);
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace bulrush
