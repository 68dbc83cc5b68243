#include "bulrush_node/operators/OperatorsApi.h"

#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

constexpr HttpServer::Limits operatorLimits { 2U << 20U, 64 };

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        if (slash != 0) {
            parts.emplace_back(path.substr(0, slash));
        }
        path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    }
    return parts;
}

} // namespace

OperatorsApi::OperatorsApi(EventLoop &loop, const Endpoint &endpoint, std::string operatorsKey)
    : key(std::move(operatorsKey))
    , server(loop, endpoint, operatorLimits, *this)
{
}

void OperatorsApi::bind(std::string_view method, std::string_view name, Handler handler)
{
    this->handlers[std::string(method) + " " + std::string(name)] = std::move(handler);
}

HttpResponse OperatorsApi::json(int status, std::string text)
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(text) + "\n";
    return response;
}

HttpResponse OperatorsApi::error(int status, std::string_view reason)
{
    return json(status, nlohmann::json({ { "error", reason } }).dump());
}

void OperatorsApi::requestArrived(HttpServer::RequestId id, HttpRequest request)
{
    if (headerValue(request.headers, "bulrush-key") != this->key) {
        this->server.respond(id, error(401, "the header bulrush-key does not match"));
        return;
    }
    std::vector<std::string> parts = splitPath(request.path);
    const std::string name = parts.empty() ? "" : parts.front();
    const auto handler = this->handlers.find(request.method + " " + name);
    if (handler == this->handlers.end()) {
        this->server.respond(id, error(404, "no such command: " + request.method + " /" + name));
        return;
    }
    parts.erase(parts.begin());
    handler->second(request, parts, [this, id](HttpResponse response) {
        this->server.respond(id, std::move(response));
    });
}

} // namespace bulrush
