#include "bulrush_platform/log/HttpPlatform.h"

#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::size_t maxOpenCalls = 16;
constexpr Duration callTimeout = seconds(2);
constexpr int maxRecordsPerRead = 500;

std::optional<LogOffset> parseOffset(const CallResult &result)
{
    if (!result.succeeded()) {
        return std::nullopt;
    }
    const json answer = json::parse(result.response->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("offset")
        || !answer["offset"].is_number_unsigned()) {
        return std::nullopt;
    }
    return answer["offset"].get<LogOffset>();
}

std::optional<LogPage> parsePage(const CallResult &result)
{
    if (!result.succeeded()) {
        return std::nullopt;
    }
    try {
        const json answer = json::parse(result.response->body);
        LogPage page;
        page.firstRetained = answer.at("first").get<LogOffset>();
        page.end = answer.at("next").get<LogOffset>();
        for (const json &entry : answer.at("records")) {
            page.entries.push_back(
                    { entry.at("offset").get<LogOffset>(), entry.at("body").get<std::string>() });
        }
        return page;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

VmState parseState(const std::string &text)
{
    if (text == "gone") {
        return VmState::Gone;
    }
    return text == "leaving" ? VmState::Leaving : VmState::Live;
}

VmEntry parseVm(const json &entry)
{
    VmEntry vm;
    vm.vm = VmId(entry.at("vm").get<std::string>());
    vm.dataCentre = DataCentreId(entry.at("dataCentre").get<std::string>());
    vm.rack = entry.at("rack").get<std::string>();
    vm.address = entry.at("address").get<std::string>();
    vm.port = entry.at("port").get<std::uint16_t>();
    vm.state = parseState(entry.at("state").get<std::string>());
    vm.cpuMilli = entry.at("cpuMilli").get<std::int64_t>();
    vm.memoryMb = entry.at("memoryMb").get<std::int64_t>();
    vm.accelerators = entry.at("accelerators").get<std::int64_t>();
    return vm;
}

std::optional<std::vector<VmEntry>> parseVms(const CallResult &result)
{
    if (!result.succeeded()) {
        return std::nullopt;
    }
    try {
        std::vector<VmEntry> vms;
        for (const json &entry : json::parse(result.response->body)) {
            vms.push_back(parseVm(entry));
        }
        return vms;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

HttpRequest makeRequest(std::string_view method, std::string path)
{
    HttpRequest request;
    request.method = method;
    request.path = std::move(path);
    return request;
}

} // namespace

HttpPlatform::HttpPlatform(EventLoop &loop, std::vector<Endpoint> platformEndpoints)
    : caller(loop, maxOpenCalls)
    , endpoints(std::move(platformEndpoints))
{
}

void HttpPlatform::append(std::string_view stream, std::string body, AppendCallback callback)
{
    HttpRequest request = makeRequest("POST", "/log/" + std::string(stream));
    request.body = std::move(body);
    this->call(std::move(request), callTimeout,
               [callback = std::move(callback)](const CallResult &result) {
                   callback(parseOffset(result));
               });
}

void HttpPlatform::read(std::string_view stream, LogOffset from, Duration wait,
                        ReadCallback callback)
{
    HttpRequest request = makeRequest("GET", "/log/" + std::string(stream));
    request.query = "from=" + std::to_string(from) + "&max=" + std::to_string(maxRecordsPerRead)
            + "&waitMs=" + std::to_string(duration_cast<milliseconds>(wait).count());
    this->call(std::move(request), wait + callTimeout,
               [callback = std::move(callback)](const CallResult &result) {
                   callback(parsePage(result));
               });
}

void HttpPlatform::readVms(Callback callback)
{
    this->call(makeRequest("GET", "/vms"), callTimeout,
               [callback = std::move(callback)](const CallResult &result) {
                   callback(parseVms(result));
               });
}

void HttpPlatform::call(HttpRequest request, Duration timeout, HttpCaller::Callback callback)
{
    const Endpoint &endpoint = this->endpoints[this->currentEndpoint % this->endpoints.size()];
    this->caller.call(endpoint, std::move(request), timeout,
                      [this, callback = std::move(callback)](CallResult result) {
                          if (!result.succeeded()) {
                              ++this->currentEndpoint;
                          }
                          callback(std::move(result));
                      });
}

} // namespace bulrush
