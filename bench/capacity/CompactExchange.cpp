#include "CompactExchange.h"

#include <map>
#include <nlohmann/json.hpp>

namespace bulrush::bench {

namespace {

using nlohmann::json;

json renewalRows(const ExchangeRequest &request)
{
    json rows = json::object();
    for (const Renewal &renewal : request.renewals) {
        json &row = rows[renewal.attempt.task.job.name()];
        row.push_back(renewal.attempt.task.index);
        row.push_back(renewal.attempt.attempt);
    }
    return rows;
}

json itemRow(const InventoryItem &item)
{
    json row { item.attempt.task.index, item.attempt.attempt, item.epoch,
               item.need.cpuMilli,      item.need.memoryMb,   item.usageCpuMilli,
               item.usageMemoryMb,      item.usageAgeMs };
    const bool isDefault = item.state == AttemptState::Running && item.checkpoint.empty()
            && item.need.accelerators == 0;
    if (!isDefault) {
        row.push_back(static_cast<int>(item.state));
        row.push_back(item.need.accelerators);
        row.push_back(item.checkpoint);
        row.push_back(item.result);
    }
    return row;
}

} // namespace

std::string encodeCompact(const ExchangeRequest &request)
{
    json rows { request.node.name(), request.group.name(), request.epoch,       request.sequence,
                request.incarnation, request.validUntilMs, renewalRows(request) };
    if (!request.renewals.empty()) {
        rows.push_back(request.renewals.front().leaseMs);
    }
    return rows.dump();
}

std::string encodeCompact(const ExchangeAnswer &answer)
{
    json items = json::object();
    for (const InventoryItem &item : answer.inventory) {
        items[item.attempt.task.job.name()].push_back(itemRow(item));
    }
    return json { answer.worker.name(),
                  answer.accepted,
                  answer.epoch,
                  answer.sequence,
                  answer.incarnation,
                  answer.clockMs,
                  answer.leaving,
                  answer.capacity.cpuMilli,
                  answer.capacity.memoryMb,
                  answer.capacity.accelerators,
                  items }
            .dump();
}

} // namespace bulrush::bench
