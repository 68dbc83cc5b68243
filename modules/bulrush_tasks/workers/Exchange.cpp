#include "bulrush_tasks/workers/Exchange.h"

#include "bulrush_core/errors/Error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bulrush {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> stateNames { "running", "finished", "stopped", "failed",
                                                       "lapsed" };

AttemptState stateOf(std::string_view name)
{
    const auto *const found = std::find(stateNames.begin(), stateNames.end(), name);
    if (found == stateNames.end()) {
        throw Error("read exchange", "", "unknown attempt state");
    }
    return static_cast<AttemptState>(found - stateNames.begin());
}

json attemptJson(const AttemptId &attempt)
{
    return { { "task", attempt.task.text() }, { "attempt", attempt.attempt } };
}

/** A worker may hold foreign tasks, whose names are not of the form "job#index": the whole name
    then becomes the job, with index 0. */
AttemptId attemptFrom(const json &value)
{
    const auto name = value.at("task").get<std::string>();
    const TaskId task = TaskId::parse(name).value_or(TaskId { JobId(name), 0 });
    return { task, value.at("attempt") };
}

json resourcesJson(const Resources &resources)
{
    return { { "cpuMilli", resources.cpuMilli },
             { "memoryMb", resources.memoryMb },
             { "accelerators", resources.accelerators } };
}

Resources resourcesFrom(const json &value)
{
    return { value.value("cpuMilli", std::int64_t { 0 }),
             value.value("memoryMb", std::int64_t { 0 }),
             value.value("accelerators", std::int64_t { 0 }) };
}

json startJson(const StartCommand &start)
{
    json value = attemptJson(start.attempt);
    value.update(resourcesJson(start.need));
    value["kind"] = nameOf(start.kind);
    value["leaseMs"] = start.leaseMs;
    value["runMs"] = start.runMs;
    value["checkpoint"] = start.checkpoint;
    return value;
}

StartCommand startFrom(const json &value)
{
    return {
        attemptFrom(value),  taskKind(value.value("kind", "batch")),   resourcesFrom(value),
        value.at("leaseMs"), value.value("runMs", std::int64_t { 0 }), value.value("checkpoint", "")
    };
}

json itemJson(const InventoryItem &item)
{
    json value = attemptJson(item.attempt);
    value.update(resourcesJson(item.need));
    value["epoch"] = item.epoch;
    value["state"] = stateNames.at(static_cast<std::size_t>(item.state));
    value["usageCpuMilli"] = item.usageCpuMilli;
    value["usageMemoryMb"] = item.usageMemoryMb;
    value["usageAgeMs"] = item.usageAgeMs;
    value["checkpoint"] = item.checkpoint;
    value["result"] = item.result;
    return value;
}

InventoryItem itemFrom(const json &value)
{
    return { attemptFrom(value),
             value.value("epoch", Epoch { 0 }),
             stateOf(value.at("state").get<std::string>()),
             resourcesFrom(value),
             value.value("usageCpuMilli", std::int64_t { 0 }),
             value.value("usageMemoryMb", std::int64_t { 0 }),
             value.value("usageAgeMs", std::int64_t { 0 }),
             value.value("checkpoint", ""),
             value.value("result", "") };
}

json attemptsJson(const std::vector<AttemptId> &attempts)
{
    json list = json::array();
    for (const AttemptId &attempt : attempts) {
        list.push_back(attemptJson(attempt));
    }
    return list;
}

std::vector<AttemptId> attemptsFrom(const json &request, const char *key)
{
    std::vector<AttemptId> attempts;
    for (const json &value : request.value(key, json::array())) {
        attempts.push_back(attemptFrom(value));
    }
    return attempts;
}

ExchangeRequest requestFrom(const json &value)
{
    ExchangeRequest request;
    request.node = NodeId(value.at("node").get<std::string>());
    request.group = GroupId(value.at("group").get<std::string>());
    request.epoch = value.at("epoch");
    request.sequence = value.at("sequence");
    request.incarnation = value.value("incarnation", "");
    request.validUntilMs = value.value("validUntilMs", std::int64_t { 0 });
    for (const json &renewal : value.value("renew", json::array())) {
        request.renewals.push_back({ attemptFrom(renewal), renewal.at("leaseMs") });
    }
    for (const json &start : value.value("start", json::array())) {
        request.starts.push_back(startFrom(start));
    }
    for (const json &throttle : value.value("throttle", json::array())) {
        request.throttles.push_back({ attemptFrom(throttle), throttle.at("percent") });
    }
    request.stops = attemptsFrom(value, "stop");
    request.checkpoints = attemptsFrom(value, "checkpoint");
    request.forgets = attemptsFrom(value, "forget");
    return request;
}

ExchangeAnswer answerFrom(const json &value)
{
    ExchangeAnswer answer;
    answer.worker = VmId(value.at("worker").get<std::string>());
    answer.accepted = value.at("accepted");
    answer.epoch = value.value("epoch", Epoch { 0 });
    answer.sequence = value.value("sequence", std::uint64_t { 0 });
    answer.incarnation = value.value("incarnation", "");
    answer.clockMs = value.value("clockMs", std::int64_t { 0 });
    answer.leaving = value.value("leaving", false);
    answer.capacity = resourcesFrom(value.value("capacity", json::object()));
    for (const json &item : value.value("inventory", json::array())) {
        answer.inventory.push_back(itemFrom(item));
    }
    return answer;
}

} // namespace

std::string encode(const ExchangeRequest &request)
{
    json renewals = json::array();
    for (const Renewal &renewal : request.renewals) {
        renewals.push_back(attemptJson(renewal.attempt));
        renewals.back()["leaseMs"] = renewal.leaseMs;
    }
    json starts = json::array();
    for (const StartCommand &start : request.starts) {
        starts.push_back(startJson(start));
    }
    json throttles = json::array();
    for (const ThrottleCommand &throttle : request.throttles) {
        throttles.push_back(attemptJson(throttle.attempt));
        throttles.back()["percent"] = throttle.percent;
    }
    return json {
        { "node", request.node.name() },
        { "group", request.group.name() },
        { "epoch", request.epoch },
        { "sequence", request.sequence },
        { "incarnation", request.incarnation },
        { "validUntilMs", request.validUntilMs },
        { "renew", renewals },
        { "start", starts },
        { "stop", attemptsJson(request.stops) },
        { "checkpoint", attemptsJson(request.checkpoints) },
        { "throttle", throttles },
        { "forget", attemptsJson(request.forgets) }
    }.dump();
}

ExchangeRequest decodeExchangeRequest(std::string_view text)
{
    try {
        return requestFrom(json::parse(text));
    } catch (const json::exception &error) {
        throw Error("read exchange request", "", error.what());
    }
}

std::string encode(const ExchangeAnswer &answer)
{
    json inventory = json::array();
    for (const InventoryItem &item : answer.inventory) {
        inventory.push_back(itemJson(item));
    }
    return json {
        { "worker", answer.worker.name() },
        { "accepted", answer.accepted },
        { "epoch", answer.epoch },
        { "sequence", answer.sequence },
        { "incarnation", answer.incarnation },
        { "clockMs", answer.clockMs },
        { "leaving", answer.leaving },
        { "capacity", resourcesJson(answer.capacity) },
        { "inventory", inventory }
    }.dump();
}

ExchangeAnswer decodeExchangeAnswer(std::string_view text)
{
    try {
        return answerFrom(json::parse(text));
    } catch (const json::exception &error) {
        throw Error("read exchange answer", "", error.what());
    }
}

} // namespace bulrush
