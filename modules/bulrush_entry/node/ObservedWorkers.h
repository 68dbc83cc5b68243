#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_entry/node/EntryMetrics.h"

namespace bulrush {

/** Passes orders on to the workers, and counts and times their answers for the node's metrics. */
class ObservedWorkers : public WorkerOrders
{
public:
    ObservedWorkers(const Clock &clock, WorkerOrders &orders, EntryMetrics &metrics);

    void start(const WorkerAddress &worker, const RunStart &order, Duration timeout,
               Callback callback) override;
    void stop(const WorkerAddress &worker, const RunStop &order, Duration timeout,
              Callback callback) override;
    void pace(const WorkerAddress &worker, const RunPace &order, Duration timeout,
              Callback callback) override;
    void hold(const WorkerAddress &worker, const WorkerHold &order, Duration timeout,
              std::function<void(HoldAnswer)> callback) override;

private:
    Callback noted(std::string_view order, Callback callback);

    const Clock &clock;
    WorkerOrders &orders;
    EntryMetrics &metrics;
};

} // namespace bulrush
