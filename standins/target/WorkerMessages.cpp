#include "standins/target/WorkerMessages.h"

#include <limits>
#include <stdexcept>
#include <utility>

namespace bulrush::standins {

namespace {

/** Reads a list of orders; one that is left out is empty. */
template<class Order>
std::vector<Order> listFrom(const nlohmann::json &json, const char *name,
                            Order (*orderFrom)(const nlohmann::json &))
{
    std::vector<Order> orders;
    for (const nlohmann::json &order : json.value(name, nlohmann::json::array())) {
        orders.push_back(orderFrom(order));
    }
    return orders;
}

AttemptId attemptIdFrom(const nlohmann::json &json)
{
    return json.get<AttemptId>();
}

RenewOrder renewOrderFrom(const nlohmann::json &json)
{
    return { attemptIdFrom(json), json.at("leaseMs").get<std::int64_t>() };
}

ThrottleOrder throttleOrderFrom(const nlohmann::json &json)
{
    return { attemptIdFrom(json), json.at("percent").get<std::int64_t>() };
}

nlohmann::json entryJson(const InventoryEntry &entry)
{
    nlohmann::json json = entry.resources;
    json["task"] = entry.id.task;
    json["attempt"] = entry.id.attempt;
    json["epoch"] = entry.epoch;
    json["state"] = entry.state;
    json["usageCpuMilli"] = entry.usageCpuMilli;
    json["usageMemoryMb"] = entry.usageMemoryMb;
    json["usageAgeMs"] = entry.usageAgeMs;
    json["checkpoint"] = entry.checkpoint;
    json["result"] = entry.result;
    return json;
}

/** An unknown kind would otherwise be read as the first one. */
TaskKind kindOf(const nlohmann::json &json)
{
    const auto kind = json.get<TaskKind>();
    if (nlohmann::json(kind) != json) {
        throw std::invalid_argument("unknown kind: " + json.dump());
    }
    return kind;
}

} // namespace

bool Resources::fitIn(const Resources &others) const
{
    return this->cpuMilli <= others.cpuMilli && this->memoryMb <= others.memoryMb
            && this->accelerators <= others.accelerators;
}

void Resources::add(const Resources &others)
{
    this->cpuMilli += others.cpuMilli;
    this->memoryMb += others.memoryMb;
    this->accelerators += others.accelerators;
}

std::int64_t StartOrder::resumeMs() const
{
    return this->checkpoint.empty() ? 0 : std::stoll(this->checkpoint);
}

StartOrder startOrderFrom(const nlohmann::json &json)
{
    StartOrder order;
    order.id = attemptIdFrom(json);
    order.kind = kindOf(json.at("kind"));
    order.resources = json.get<Resources>();
    order.leaseMs = json.at("leaseMs").get<std::int64_t>();
    order.runMs = json.value("runMs", std::int64_t { 0 });
    order.checkpoint = json.value("checkpoint", std::string());
    return order;
}

std::vector<RenewOrder> renewOrdersFrom(const nlohmann::json &json)
{
    return listFrom(json, "renew", renewOrderFrom);
}

ExchangeRequest exchangeRequestFrom(const nlohmann::json &json)
{
    ExchangeRequest request;
    request.node = json.at("node").get<std::string>();
    request.group = json.at("group").get<std::string>();
    request.token.epoch = json.at("epoch").get<std::uint64_t>();
    request.token.sequence = json.at("sequence").get<std::uint64_t>();
    request.incarnation = json.value("incarnation", std::string());
    request.validUntilMs = json.value("validUntilMs", std::numeric_limits<std::int64_t>::max());
    request.renew = renewOrdersFrom(json);
    request.start = listFrom(json, "start", startOrderFrom);
    request.stop = listFrom(json, "stop", attemptIdFrom);
    request.checkpoint = listFrom(json, "checkpoint", attemptIdFrom);
    request.throttle = listFrom(json, "throttle", throttleOrderFrom);
    request.forget = listFrom(json, "forget", attemptIdFrom);
    return request;
}

nlohmann::json toJson(const ExchangeAnswer &answer)
{
    nlohmann::json inventory = nlohmann::json::array();
    for (const InventoryEntry &entry : answer.inventory) {
        inventory.push_back(entryJson(entry));
    }
    return { { "accepted", answer.accepted },       { "epoch", answer.token.epoch },
             { "sequence", answer.token.sequence }, { "incarnation", answer.incarnation },
             { "clockMs", answer.clockMs },         { "inventory", std::move(inventory) } };
}

nlohmann::json toJson(const RunRecord &run)
{
    return { { "task", run.id.task },
             { "attempt", run.id.attempt },
             { "startedMs", run.startedMs },
             { "endedMs", run.endedMs },
             { "state", run.state } };
}

} // namespace bulrush::standins
