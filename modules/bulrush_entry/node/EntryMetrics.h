#pragma once

#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/WorkerOrders.h"

#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

/** The counters and histograms of an entry VM. */
class EntryMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics();

    EntryMetrics(const EntryMetrics &) = delete;
    EntryMetrics &operator=(const EntryMetrics &) = delete;

    void storeCall(std::string_view call, StoreOutcome outcome, Duration took);
    void callerServed(CallerWish wish, CallerOutcome outcome, Duration took);
    void workerAnswered(std::string_view order, OrderOutcome outcome, Duration took);

    /** Records the start of a job's first task. @param waited time since the job was accepted */
    void jobBegun(Duration waited);

    /** Records a job's end, once the log holds it. @param took time since the job was accepted */
    void jobEnded(JobState state, Duration took);

    void setOwner(bool owner);
    void setDroppedLines(std::uint64_t lines);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace bulrush
