#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/bulrush_net.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>

namespace {

using namespace bulrush;

constexpr char usage[] =
        R"(Measures the latency that a node adds to a request compared with a direct call.

Usage:
  bench_path --direct PORT --node PORT --service NAME [options]

Options:
  --direct PORT      Port of the target.
  --node PORT        Port of the node for callers.
  --service NAME     Service whose only target is the one at --direct.
  --requests N       Requests on each path [default: 4000].
  --parallel N       Concurrent requests on each path; half of a target's slots [default: 4].
  --work-ms N        Milliseconds that the target works on each request [default: 5].
  --output FILE      Writes the result as JSON.
)";

/** Sends requests to one endpoint, a fixed number at a time, and records their latencies. */
class RequestSender : private HttpClient::Listener
{
public:
    RequestSender(EventLoop &owningLoop, Endpoint targetEndpoint, std::string requestPath,
                  std::string requestQuery)
        : endpoint(std::move(targetEndpoint))
        , path(std::move(requestPath))
        , query(std::move(requestQuery))
        , client(owningLoop, HttpClient::Limits(), *this)
    {
    }

    RequestSender(const RequestSender &) = delete;
    RequestSender &operator=(const RequestSender &) = delete;

    void start(std::size_t parallel, std::size_t requests)
    {
        this->remaining = requests;
        for (std::size_t connection = 0; connection < parallel; ++connection) {
            this->sendNext(connection);
        }
    }

    bool isDone() const { return this->remaining == 0 && this->pending.empty(); }
    std::size_t failures() const { return this->failed; }

    /** Returns a quantile of the latencies, in milliseconds. */
    double quantile(double fraction)
    {
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto index = static_cast<std::size_t>(fraction * double(this->latencies.size() - 1));
        return this->latencies.empty() ? 0 : this->latencies[index];
    }

private:
    struct PendingRequest
    {
        std::size_t connection = 0;
        Instant sentAt {};
    };

    void sendNext(std::size_t connection)
    {
        if (this->remaining == 0) {
            return;
        }
        --this->remaining;
        const HttpClient::ExchangeId id = this->nextId++;
        this->pending[id] = { connection, this->clock.now() };
        HttpRequest request;
        request.method = "GET";
        request.path = this->path;
        request.query = this->query;
        this->client.send(id, this->endpoint, connection, request);
    }

    bool requestStarting(HttpClient::ExchangeId /*id*/) override { return true; }

    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override
    {
        const PendingRequest ended = this->pending.at(id);
        this->pending.erase(id);
        const std::chrono::duration<double, std::milli> latency = this->clock.now() - ended.sentAt;
        if (response.status == 200) {
            this->latencies.push_back(latency.count());
        } else {
            std::cerr << "status " << response.status << ": " << response.body << "\n";
            ++this->failed;
        }
        this->sendNext(ended.connection);
    }

    void exchangeFailed(HttpClient::ExchangeId id, ExchangeFailure /*failure*/,
                        std::string_view reason) override
    {
        std::cerr << "failed: " << reason << "\n";
        const PendingRequest ended = this->pending.at(id);
        this->pending.erase(id);
        ++this->failed;
        this->sendNext(ended.connection);
    }

    const Endpoint endpoint;
    const std::string path;
    const std::string query;
    const SystemClock clock;
    HttpClient client;
    std::map<HttpClient::ExchangeId, PendingRequest> pending;
    std::vector<double> latencies;
    std::size_t remaining = 0;
    std::size_t failed = 0;
    HttpClient::ExchangeId nextId = 1;
};

} // namespace

int main(int argc, char **argv)
{
    const auto options =
            docopt::docopt(usage, std::vector<std::string>(argv + 1, argv + argc), true);
    const auto port = [&options](const char *name) {
        return Endpoint { "127.0.0.1", static_cast<std::uint16_t>(options.at(name).asLong()) };
    };
    const std::string query = "sleepMs=" + options.at("--work-ms").asString();
    const std::string service = options.at("--service").asString();
    const auto requests = static_cast<std::size_t>(options.at("--requests").asLong());
    const auto parallel = static_cast<std::size_t>(options.at("--parallel").asLong());
    EventLoop loop;
    RequestSender direct(loop, port("--direct"), "/serve/x", query);
    RequestSender throughNode(loop, port("--node"), "/services/" + service + "/serve/x", query);
    // Alternates between both paths in short rounds, so that both run under the same machine load.
    constexpr std::size_t rounds = 20;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (RequestSender *sender : { &direct, &throughNode }) {
            sender->start(parallel, requests / rounds);
            while (!sender->isDone()) {
                loop.runOnce();
            }
        }
    }
    const nlohmann::json result = { { "requests", requests },
                                    { "parallel", parallel },
                                    { "directP50Ms", direct.quantile(0.5) },
                                    { "directP99Ms", direct.quantile(0.99) },
                                    { "nodeP50Ms", throughNode.quantile(0.5) },
                                    { "nodeP99Ms", throughNode.quantile(0.99) },
                                    { "failures", direct.failures() + throughNode.failures() } };
    std::cout << result.dump(2) << "\n";
    if (options.at("--output")) {
        std::ofstream(options.at("--output").asString()) << result.dump(2) << "\n";
    }
    return direct.failures() + throughNode.failures() == 0 ? 0 : 1;
}
