#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_entry/node/EntryMetrics.h"

namespace bulrush {

/** Forwards orders to the workers and records their outcomes and durations in the metrics. */
class ObservedWorkers : public WorkerCommands
{
public:
    ObservedWorkers(const Clock &clock, WorkerCommands &orders, EntryMetrics &metrics);

    void start(const WorkerAddress &worker, const RunStart &order, Duration timeout,
               Callback callback) override;
    void stop(const WorkerAddress &worker, const RunStop &order, Duration timeout,
              Callback callback) override;
    void pace(const WorkerAddress &worker, const RunPace &order, Duration timeout,
              Callback callback) override;
    void hold(const WorkerAddress &worker, const WorkerHold &order, Duration timeout,
              std::function<void(HoldAnswer)> callback) override;

private:
    Callback withMetrics(std::string_view order, Callback callback);

    const Clock &clock;
    WorkerCommands &orders;
    EntryMetrics &metrics;
};

} // namespace bulrush
