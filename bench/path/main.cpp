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
        R"(Measures what a node adds to a request, against calling the target directly.

Usage:
  bench_path --direct PORT --node PORT --service NAME [options]

Options:
  --direct PORT      The target's port.
  --node PORT        The node's port for callers.
  --service NAME     The service whose only target it is.
  --requests N       Requests on each way [default: 4000].
  --parallel N       Requests at a time on each way; half of a target's slots [default: 4].
  --work-ms N        How long the target works on each [default: 5].
  --output FILE      Writes the result as JSON.
)";

/** One way to the target: sends its requests, a number at a time, and keeps their times. */
class Way : private HttpClient::Listener
{
public:
    Way(EventLoop &owningLoop, Endpoint end, std::string requestPath, std::string requestQuery)
        : endpoint(std::move(end))
        , path(std::move(requestPath))
        , query(std::move(requestQuery))
        , client(owningLoop, maxParallel, HttpClient::Limits(), *this)
    {
    }

    Way(const Way &) = delete;
    Way &operator=(const Way &) = delete;

    void start(std::size_t parallel, std::size_t requests)
    {
        this->left = requests;
        for (std::size_t connection = 0; connection < parallel; ++connection) {
            this->sendNext(connection);
        }
    }

    bool isDone() const { return this->left == 0 && this->open.empty(); }
    std::size_t failures() const { return this->failed; }

    /** Returns a quantile of the times, in milliseconds. */
    double quantile(double part)
    {
        std::sort(this->times.begin(), this->times.end());
        const auto index = static_cast<std::size_t>(part * double(this->times.size() - 1));
        return this->times.empty() ? 0 : this->times[index];
    }

private:
    static constexpr std::size_t maxParallel = 64;

    struct Open
    {
        std::size_t connection = 0;
        Instant sentAt {};
    };

    void sendNext(std::size_t connection)
    {
        if (this->left == 0) {
            return;
        }
        --this->left;
        const HttpClient::ExchangeId id = this->nextId++;
        this->open[id] = { connection, this->clock.now() };
        HttpRequest request;
        request.method = "GET";
        request.path = this->path;
        request.query = this->query;
        this->client.send(id, this->endpoint, connection, std::move(request));
    }

    void requestLeaving(HttpClient::ExchangeId /*id*/) override { }

    void responseArrived(HttpClient::ExchangeId id, HttpResponse response) override
    {
        const Open ended = this->open.at(id);
        this->open.erase(id);
        const std::chrono::duration<double, std::milli> time = this->clock.now() - ended.sentAt;
        if (response.status == 200) {
            this->times.push_back(time.count());
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
        const Open ended = this->open.at(id);
        this->open.erase(id);
        ++this->failed;
        this->sendNext(ended.connection);
    }

    const Endpoint endpoint;
    const std::string path;
    const std::string query;
    const SystemClock clock;
    HttpClient client;
    std::map<HttpClient::ExchangeId, Open> open;
    std::vector<double> times;
    std::size_t left = 0;
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
    Way direct(loop, port("--direct"), "/serve/x", query);
    Way throughNode(loop, port("--node"), "/services/" + service + "/serve/x", query);
    // One after the other in small parts, so that both see the same machine.
    constexpr std::size_t parts = 20;
    for (std::size_t part = 0; part < parts; ++part) {
        for (Way *way : { &direct, &throughNode }) {
            way->start(parallel, requests / parts);
            while (!way->isDone()) {
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
