#include "bulrush_routing/budgets/OutlierEjector.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

Duration ejectionTime(unsigned ejections)
{
    const unsigned doublings = std::min(ejections, 4U);
    return std::min(OutlierEjector::maxEjectionTime,
                    OutlierEjector::baseEjectionTime * (1U << doublings));
}

bool ejectionAllowed(const TargetTable &table, std::size_t dataCentre)
{
    const auto present = static_cast<double>(table.presentCount(dataCentre));
    const auto ejected = static_cast<double>(table.ejectedCount(dataCentre));
    return ejected + 1 <= present * OutlierEjector::maxEjectedShare;
}

} // namespace

void OutlierEjector::recordSuccess(TargetTable &table, TargetIndex index)
{
    table.setConsecutiveFailures(index, 0);
}

void OutlierEjector::recordFailure(TargetTable &table, TargetIndex index, Instant now)
{
    Record &record = this->recordOf(index);
    const Target &target = table.at(index);
    table.setConsecutiveFailures(index, target.consecutiveFailures + 1);
    if (record.failing || target.consecutiveFailures < failureThreshold || !target.present) {
        return;
    }
    record.failing = true;
    if (ejectionAllowed(table, target.dataCentre)) {
        record.failingUntil = now + ejectionTime(record.ejections++);
        table.setEjected(index, true);
    } else {
        record.failingUntil = now + baseEjectionTime;
    }
}

void OutlierEjector::tick(TargetTable &table, Instant now)
{
    for (std::size_t i = 0; i < this->records.size(); ++i) {
        Record &record = this->records[i];
        if (record.failing && record.failingUntil <= now) {
            record.failing = false;
            // A single further failure ejects the target again.
            table.setConsecutiveFailures(TargetIndex(i), failureThreshold - 1);
            table.setEjected(TargetIndex(i), false);
        }
    }
}

void OutlierEjector::reset(TargetIndex index)
{
    this->recordOf(index) = Record {};
}

OutlierEjector::Record &OutlierEjector::recordOf(TargetIndex index)
{
    if (toSize(index) >= this->records.size()) {
        this->records.resize(toSize(index) + 1);
    }
    return this->records[toSize(index)];
}

} // namespace bulrush::routing
