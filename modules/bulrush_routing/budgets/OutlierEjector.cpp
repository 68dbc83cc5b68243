#include "bulrush_routing/budgets/OutlierEjector.h"

#include <algorithm>

namespace bulrush::routing {

namespace {

Duration termOf(unsigned ejections)
{
    const unsigned doublings = std::min(ejections, 4U);
    return std::min(OutlierEjector::longestTerm, OutlierEjector::firstTerm * (1U << doublings));
}

bool floorAllows(const TargetTable &table, std::size_t dataCentre)
{
    const auto present = static_cast<double>(table.presentIn(dataCentre));
    const auto ejected = static_cast<double>(table.ejectedIn(dataCentre));
    return ejected + 1 <= present * OutlierEjector::largestShare;
}

} // namespace

void OutlierEjector::noteSuccess(TargetIndex index)
{
    this->recordOf(index).failures = 0;
}

void OutlierEjector::noteFailure(TargetTable &table, TargetIndex index, Instant now)
{
    Record &record = this->recordOf(index);
    ++record.failures;
    const Target &target = table.at(index);
    if (record.ejected || record.failures < failuresInARow || !target.present) {
        return;
    }
    if (!floorAllows(table, target.dataCentre)) {
        return;
    }
    record.ejected = true;
    record.until = now + termOf(record.ejections++);
    table.setEjected(index, true);
}

void OutlierEjector::tick(TargetTable &table, Instant now)
{
    for (std::size_t i = 0; i < this->records.size(); ++i) {
        Record &record = this->records[i];
        if (record.ejected && record.until <= now) {
            record.ejected = false;
            // One more failure is enough to eject it again.
            record.failures = failuresInARow - 1;
            table.setEjected(TargetIndex(i), false);
        }
    }
}

void OutlierEjector::forget(TargetIndex index)
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
