#include "bulrush_cli/client/NodeGroup.h"

#include <algorithm>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr Duration callTimeout = seconds(5);
constexpr Duration queryAllTimeout = seconds(2);
constexpr int unauthorized = 401;

NodeAnswer readAnswer(const Endpoint &node, const CallResult &result)
{
    NodeAnswer answer;
    answer.node = node;
    if (!result.response) {
        answer.failure = result.reason;
        answer.mayHaveArrived = result.failure != ExchangeFailure::NotSent;
        return answer;
    }
    answer.status = result.response->status;
    const json body = json::parse(result.response->body, nullptr, false);
    answer.body = body.is_discarded() ? json() : body;
    return answer;
}

} // namespace

std::string NodeAnswer::error() const
{
    if (!this->status) {
        return this->failure;
    }
    if (this->body.is_object() && this->body.contains("error") && this->body["error"].is_string()) {
        return this->body["error"];
    }
    return "the node answered with status " + std::to_string(*this->status);
}

NodeGroup::NodeGroup(OperatorsClient &operatorsClient, std::vector<Endpoint> endpoints,
                     std::string operatorsKey)
    : client(operatorsClient)
    , nodes(std::move(endpoints))
    , key(std::move(operatorsKey))
{
}

NodeAnswer NodeGroup::queryAny(std::string_view path)
{
    std::vector<NodeAnswer> answers;
    while (answers.size() < this->nodes.size()) {
        const std::span<const Endpoint> first(this->nodes.data(), 1);
        answers.push_back(this->call(first, "GET", path, "", callTimeout).front());
        if (answers.back().status) {
            return answers.back();
        }
        std::rotate(this->nodes.begin(), this->nodes.begin() + 1, this->nodes.end());
    }
    throwNoneAnswered(answers);
}

std::vector<NodeAnswer> NodeGroup::queryAll(std::string_view path) const
{
    return this->call(this->nodes, "GET", path, "", queryAllTimeout);
}

NodeAnswer NodeGroup::post(const Endpoint &node, std::string_view path, std::string_view text) const
{
    return this->call(std::span(&node, 1), "POST", path, text, callTimeout).front();
}

void NodeGroup::throwNoneAnswered(const std::vector<NodeAnswer> &answers)
{
    if (answers.empty()) {
        throw CommandError(ExitStatus::WrongCommandLine, "query nodes", "",
                           "--node: found none, expected ADDRESS:PORT here or in "
                           "BULRUSHRILL_NODES");
    }
    std::string reasons;
    for (const NodeAnswer &answer : answers) {
        reasons += (reasons.empty() ? "" : "; ") + answer.node.text() + ": " + answer.failure;
    }
    throw CommandError(ExitStatus::NoNodeAnswered, "query nodes", "",
                       "no node answered: " + reasons);
}

std::vector<NodeAnswer> NodeGroup::call(std::span<const Endpoint> endpoints,
                                        std::string_view method, std::string_view path,
                                        std::string_view text, Duration timeout) const
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = text;
    if (!this->key.empty()) {
        request.headers.push_back({ "bulrush-key", this->key });
    }
    if (!text.empty()) {
        request.headers.push_back({ "content-type", "application/json" });
    }
    const auto results = this->client.callAll(endpoints, request, timeout);
    std::vector<NodeAnswer> answers;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        answers.push_back(readAnswer(endpoints[i], results[i]));
        if (answers.back().status == unauthorized) {
            throw CommandError(ExitStatus::Refused, "query nodes", endpoints[i].text(),
                               "the node refuses the key; expected its operators' key in --key or "
                               "BULRUSHRILL_KEY");
        }
    }
    return answers;
}

} // namespace bulrush
