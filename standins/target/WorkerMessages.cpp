#include "standins/target/WorkerMessages.h"

#include <limits>
#include <stdexcept>
#include <utility>

namespace bulrush::standins {

namespace {

/** Reads a list of commands; a missing list is empty. */
template<class Command>
std::vector<Command> listFrom(const nlohmann::json &json, const char *name,
                              Command (*commandFrom)(const nlohmann::json &))
{
    std::vector<Command> commands;
    for (const nlohmann::json &command : json.value(name, nlohmann::json::array())) {
        commands.push_back(commandFrom(command));
    }
    return commands;
}

AttemptId attemptIdFrom(const nlohmann::json &json)
{
    return json.get<AttemptId>();
}

RenewCommand renewCommandFrom(const nlohmann::json &json)
{
    return { attemptIdFrom(json), json.at("leaseMs").get<std::int64_t>() };
}

ThrottleCommand throttleCommandFrom(const nlohmann::json &json)
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

/** Rejects unknown kinds, which the JSON conversion would map to the first enum value. */
TaskKind taskKindFrom(const nlohmann::json &json)
{
    const auto kind = json.get<TaskKind>();
    if (nlohmann::json(kind) != json) {
        throw std::invalid_argument("unknown kind: " + json.dump());
    }
    return kind;
}

} // namespace

bool Resources::fitsIn(const Resources &other) const
{
    return this->cpuMilli <= other.cpuMilli && this->memoryMb <= other.memoryMb
            && this->accelerators <= other.accelerators;
}

void Resources::add(const Resources &other)
{
    this->cpuMilli += other.cpuMilli;
    this->memoryMb += other.memoryMb;
    this->accelerators += other.accelerators;
}

std::int64_t StartCommand::resumeMs() const
{
    return this->checkpoint.empty() ? 0 : std::stoll(this->checkpoint);
}

StartCommand startCommandFrom(const nlohmann::json &json)
{
    StartCommand command;
    command.id = attemptIdFrom(json);
    command.kind = taskKindFrom(json.at("kind"));
    command.resources = json.get<Resources>();
    command.leaseMs = json.at("leaseMs").get<std::int64_t>();
    command.runMs = json.value("runMs", std::int64_t { 0 });
    command.checkpoint = json.value("checkpoint", std::string());
    return command;
}

std::vector<RenewCommand> renewCommandsFrom(const nlohmann::json &json)
{
    return listFrom(json, "renew", renewCommandFrom);
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
    request.renew = renewCommandsFrom(json);
    request.start = listFrom(json, "start", startCommandFrom);
    request.stop = listFrom(json, "stop", attemptIdFrom);
    request.checkpoint = listFrom(json, "checkpoint", attemptIdFrom);
    request.throttle = listFrom(json, "throttle", throttleCommandFrom);
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
