#include "bulrush_entry/node/ObservedWorkers.h"

#include <utility>

namespace bulrush {

ObservedWorkers::ObservedWorkers(const Clock &systemClock, WorkerCommands &workerOrders,
                                 EntryMetrics &entryMetrics)
    : clock(systemClock)
    , orders(workerOrders)
    , metrics(entryMetrics)
{
}

WorkerCommands::Callback ObservedWorkers::withMetrics(std::string_view order, Callback callback)
{
    return [this, order, sentAt = this->clock.now(),
            callback = std::move(callback)](const CommandAnswer &answer) {
        this->metrics.recordWorkerCommand(order, answer.outcome, this->clock.now() - sentAt);
        callback(answer);
    };
}

void ObservedWorkers::start(const WorkerAddress &worker, const RunStart &order, Duration timeout,
                            Callback callback)
{
    this->orders.start(worker, order, timeout, this->withMetrics("start", std::move(callback)));
}

void ObservedWorkers::stop(const WorkerAddress &worker, const RunStop &order, Duration timeout,
                           Callback callback)
{
    this->orders.stop(worker, order, timeout, this->withMetrics("stop", std::move(callback)));
}

void ObservedWorkers::pace(const WorkerAddress &worker, const RunPace &order, Duration timeout,
                           Callback callback)
{
    this->orders.pace(worker, order, timeout, this->withMetrics("pace", std::move(callback)));
}

void ObservedWorkers::hold(const WorkerAddress &worker, const WorkerHold &order, Duration timeout,
                           std::function<void(HoldAnswer)> callback)
{
    this->orders.hold(worker, order, timeout,
                      [this, sentAt = this->clock.now(),
                       callback = std::move(callback)](const HoldAnswer &answer) {
                          this->metrics.recordWorkerCommand("hold", answer.outcome,
                                                            this->clock.now() - sentAt);
                          callback(answer);
                      });
}

} // namespace bulrush
