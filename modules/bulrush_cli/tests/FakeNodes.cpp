#include "FakeNodes.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace bulrush {

namespace {

constexpr std::uint16_t operatorsPort = 9100;

Endpoint endpointOf(std::size_t index)
{
    return { "10.0.0." + std::to_string(index + 1), operatorsPort };
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::istringstream stream(path);
    for (std::string part; std::getline(stream, part, '/');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

CallResult answered(HttpResponse response)
{
    return { std::move(response), ExchangeFailure::Lost, "" };
}

} // namespace

FakeNodes::FakeNodes(int count)
    : nodes(static_cast<std::size_t>(count))
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->nodes[i].name = "node-" + std::to_string(i + 1);
    }
}

std::vector<CallResult> FakeNodes::callAll(std::span<const Endpoint> endpoints,
                                           const HttpRequest &request, Duration /*timeout*/)
{
    std::vector<CallResult> results;
    for (const Endpoint &endpoint : endpoints) {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (endpoint == endpointOf(i)) {
                this->nodes[i].singleNodeCalls += endpoints.size() == 1 ? 1 : 0;
                results.push_back(this->answer(this->nodes[i], request));
            }
        }
    }
    return results;
}

void FakeNodes::pause(Duration span)
{
    this->clock.advance(span);
    this->readLog();
}

void FakeNodes::append(const std::string &text)
{
    this->log.push_back(text);
    this->readLog();
}

void FakeNodes::readLog()
{
    for (FakeNode &node : this->nodes) {
        while (!node.isStalled && node.state.nextOffset() < this->log.size()) {
            const LogOffset offset = node.state.nextOffset();
            const Verdict verdict = node.state.apply(offset, this->log[offset]);
            if (verdict.outcome != RecordOutcome::Ignored) {
                node.verdicts.push_back(verdict);
            }
        }
    }
}

CallResult FakeNodes::answer(FakeNode &node, const HttpRequest &request)
{
    if (!node.isReachable) {
        return { std::nullopt, ExchangeFailure::NotSent, "no connection" };
    }
    ++node.calls;
    if (headerValue(request.headers, "bulrush-key") != node.key) {
        return answered(OperatorsApi::error(401, "the header bulrush-key does not match"));
    }
    if (request.method == "POST" && request.path == "/records") {
        return this->publish(node, request);
    }
    if (request.method == "POST" && request.path == "/drain") {
        return answered(OperatorsApi::json(202, R"({"draining":true})"));
    }
    return answered(this->read(node, splitPath(request.path)));
}

CallResult FakeNodes::publish(FakeNode &node, const HttpRequest &request)
{
    const CheckedRecord checked = checkRecord(request.body);
    if (checked.problem) {
        return answered(OperatorsApi::error(400, checked.problem->text()));
    }
    if (node.appendsWithUnknownOutcome > 0) {
        --node.appendsWithUnknownOutcome;
        return answered(publishAnswer(checked.record->id, std::nullopt));
    }
    if (this->beforeAppend) {
        this->beforeAppend();
    }
    // The nodes read the record at the tool's next pause.
    this->log.push_back(request.body);
    if (node.appendsWithLostAnswer > 0) {
        --node.appendsWithLostAnswer;
        return { std::nullopt, ExchangeFailure::Lost, "timeout" };
    }
    return answered(publishAnswer(checked.record->id, this->log.size() - 1));
}

HttpResponse FakeNodes::read(FakeNode &node, const std::vector<std::string> &path)
{
    const std::vector<std::string> rest(path.begin() + 1, path.end());
    const std::string &name = path.front();
    if (name == "records") {
        return recordsAnswer(node.state, rest);
    }
    if (name == "history") {
        return historyAnswer(node.state, rest);
    }
    if (name == "audit") {
        return auditAnswer(node.verdicts);
    }
    const auto extra = node.extraAnswers.find(name);
    if (extra != node.extraAnswers.end()) {
        return extra->second;
    }
    if (name == "status") {
        return OperatorsApi::json(200, this->status(node));
    }
    if (name == "verdicts") {
        for (const Verdict &verdict : node.verdicts) {
            if (verdict.id == rest.front()) {
                return verdictAnswer(&verdict);
            }
        }
        return verdictAnswer(nullptr);
    }
    return OperatorsApi::error(404, "no such command: GET /" + name);
}

std::string FakeNodes::status(const FakeNode &node) const
{
    std::map<NodeId, PeerView> peers;
    for (const FakeNode &other : this->nodes) {
        if (other.name != node.name) {
            peers[NodeId(other.name)] = { DataCentreId("north"), other.isReachable, false,
                                          this->clock.now(), other.state.nextOffset() };
        }
    }
    const std::vector<VmEntry> vms;
    StatusView view;
    view.node = NodeId(node.name);
    view.dataCentre = DataCentreId("north");
    view.uptime = hours(27);
    view.recordsNext = node.state.nextOffset();
    view.recordsUsable = true;
    view.logAvailable = !node.isStalled;
    view.peers = &peers;
    view.vms = &vms;
    view.now = this->clock.now();
    FrontConfiguration front;
    for (const Record *record : node.state.inForce(RecordKind::Service)) {
        FrontService &service = front.services[ServiceId(record->name)];
        service.deadline = readServiceBody(*record).deadline;
        service.targets.push_back(
                { TargetId("target-1"), DataCentreId("north"), { "10.0.1.1", 8080 }, 8 });
    }
    return statusJson(view, front);
}

//==============================================================================
CliFixture::CliFixture(int nodeCount)
    : nodes(nodeCount)
{
    for (int i = 0; i < nodeCount; ++i) {
        this->environment.nodes +=
                (i == 0 ? "" : ",") + endpointOf(static_cast<std::size_t>(i)).text();
    }
    this->environment.user = "mary";
}

ExitStatus CliFixture::run(const std::vector<std::string> &arguments)
{
    this->out.str("");
    this->err.str("");
    const auto newId = [this] { return "new-" + std::to_string(++this->idCount); };
    return runCli(
            arguments,
            { this->nodes, this->nodes.clock, newId, this->out, this->err, this->environment });
}

CliFixture::~CliFixture()
{
    for (const std::string &path : this->files) {
        std::error_code ignored;
        std::filesystem::remove(path, ignored);
    }
}

std::string CliFixture::file(const std::string &name, const std::string &text)
{
    const auto path = std::filesystem::temp_directory_path()
            / ("bulrush_cli_test." + std::to_string(getpid()) + "." + name);
    std::ofstream(path) << text;
    this->files.push_back(path.string());
    return this->files.back();
}

std::string serviceFile(int deadlineMs)
{
    return R"({"schema":"service/1","kind":"service","name":"review",)"
           R"("body":{"team":"kask","targets":[],"deadlineMs":)"
            + std::to_string(deadlineMs) + "}}";
}

std::string serviceRecord(const std::string &id, const std::string &supersedes,
                          const std::string &publisher, int deadlineMs)
{
    return R"({"schema":"service/1","kind":"service","name":"review","id":")" + id
            + R"(","supersedes":")" + supersedes + R"(","publisher":")" + publisher
            + R"(","body":{"team":"kask","targets":[],"deadlineMs":)" + std::to_string(deadlineMs)
            + "}}";
}

bool contains(const std::ostringstream &stream, std::string_view part)
{
    return stream.str().find(part) != std::string::npos;
}

} // namespace bulrush
