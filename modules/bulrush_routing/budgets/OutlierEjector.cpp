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

void OutlierEjector::noteSuccess(TargetTable &table, TargetIndex index)
{
    table.setFailuresInARow(index, 0);
}

void OutlierEjector::noteFailure(TargetTable &table, TargetIndex index, Instant now)
{
    Record &record = this->recordOf(index);
    const Target &target = table.at(index);
    table.setFailuresInARow(index, target.failuresInARow + 1);
    if (record.failing || target.failuresInARow < failuresInARow || !target.present) {
        return;
    }
    record.failing = true;
    if (floorAllows(table, target.dataCentre)) {
        record.until = now + termOf(record.ejections++);
        table.setEjected(index, true);
    } else {
        record.until = now + firstTerm;
    }
}

void OutlierEjector::tick(TargetTable &table, Instant now)
{
    for (std::size_t i = 0; i < this->records.size(); ++i) {
        Record &record = this->records[i];
        if (record.failing && record.until <= now) {
            record.failing = false;
            // One more failure is enough to eject it again.
            table.setFailuresInARow(TargetIndex(i), failuresInARow - 1);
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
