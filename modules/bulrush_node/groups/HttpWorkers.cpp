#include "bulrush_node/groups/HttpWorkers.h"

#include "bulrush_core/errors/Error.h"

namespace bulrush {

namespace {

/** Concurrent calls to a worker: one as the owner of its group, and one to renew leases on behalf
   of an owner that is unavailable. */
constexpr std::size_t callsPerWorker = 2;

std::optional<ExchangeAnswer> readAnswer(const CallResult &result)
{
    if (!result.succeeded()) {
        return std::nullopt;
    }
    try {
        return decodeExchangeAnswer(result.response->body);
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace

HttpWorkers::HttpWorkers(EventLoop &owningLoop, Duration callTimeout)
    : loop(owningLoop)
    , caller(owningLoop, callsPerWorker)
    , timeout(callTimeout)
{
}

void HttpWorkers::updateVms(const std::vector<VmEntry> &vms)
{
    for (const VmEntry &vm : vms) {
        this->endpoints[vm.vm] = { vm.address, vm.port };
    }
}

void HttpWorkers::exchange(const VmId &worker, const ExchangeRequest &request, Callback callback)
{
    const auto endpoint = this->endpoints.find(worker);
    if (endpoint == this->endpoints.end()) {
        this->loop.schedule(Duration::zero(),
                            [callback = std::move(callback)] { callback(std::nullopt); });
        return;
    }
    HttpRequest message;
    message.method = "POST";
    message.path = "/worker/exchange";
    message.headers.push_back({ "content-type", "application/json" });
    message.body = encode(request);
    this->caller.call(endpoint->second, std::move(message), this->timeout,
                      [callback = std::move(callback)](const CallResult &result) {
                          callback(readAnswer(result));
                      });
}

} // namespace bulrush
