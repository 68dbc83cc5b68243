/**
    bench_exchanges: measures the processor time that one HTTP exchange costs the client, at
   different numbers of peers with an open connection. The owner of hundreds of workers calls all of
   them in turn, so the cost of an exchange must not grow with their number.
*/

#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/bulrush_net.h"

#include <nlohmann/json.hpp>

#include <ctime>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace bulrush;

constexpr std::uint16_t serverPort = 18990;
constexpr std::size_t connectionsPerPeer = 2;
constexpr std::size_t openCalls = 32;
constexpr std::size_t measuredExchanges = 20'000;
constexpr seconds callTimeout { 10 };
constexpr int hostsPerSubnet = 250;

/** The length of a typical report of a worker, in bytes. */
constexpr std::size_t responseBytes = 600;

/** Answers each request at once. */
class AnswerServer : private HttpServer::Listener
{
public:
    explicit AnswerServer(EventLoop &loop)
        : server(loop, { "0.0.0.0", serverPort }, limits(), *this)
    {
    }

private:
    static HttpServer::Limits limits()
    {
        HttpServer::Limits limits;
        limits.maxConnections = 100'000;
        return limits;
    }

    void requestArrived(HttpServer::RequestId id, HttpRequest /*request*/) override
    {
        HttpResponse response;
        response.body.assign(responseBytes, 'x');
        this->server.respond(id, std::move(response));
    }

    void clientDisconnected(HttpServer::RequestId /*id*/) override { }

    HttpServer server;
};

/** Calls the peers in turn and keeps a fixed number of calls open. */
class RoundRobinCaller
{
public:
    RoundRobinCaller(EventLoop &owningLoop, std::size_t peers)
        : loop(owningLoop)
        , caller(owningLoop, connectionsPerPeer)
    {
        for (std::size_t number = 0; number < peers; ++number) {
            const std::size_t subnet = number / hostsPerSubnet;
            const std::size_t host = number % hostsPerSubnet + 1;
            const std::string address =
                    "127.0." + std::to_string(subnet) + "." + std::to_string(host);
            this->endpoints.push_back({ address, serverPort });
        }
    }

    /** Makes a number of calls and returns when all are answered. */
    void run(std::size_t calls)
    {
        this->remaining = calls;
        for (std::size_t index = 0; index < openCalls; ++index) {
            this->callNext();
        }
        while (this->open > 0) {
            this->loop.runOnce();
        }
    }

    std::size_t failedCalls() const { return this->failed; }

private:
    void callNext()
    {
        if (this->remaining == 0) {
            return;
        }
        --this->remaining;
        ++this->open;
        HttpRequest request;
        request.method = "POST";
        request.path = "/call";
        request.headers.push_back({ "content-type", "application/json" });
        request.body = R"({"fencingToken":7,"number":57})";
        const Endpoint &peer = this->endpoints[this->next++ % this->endpoints.size()];
        this->caller.call(peer, std::move(request), callTimeout, [this](const CallResult &result) {
            this->failed += result.succeeded() ? 0 : 1;
            --this->open;
            this->callNext();
        });
    }

    EventLoop &loop;
    HttpCaller caller;
    std::vector<Endpoint> endpoints;
    std::size_t next = 0;
    std::size_t remaining = 0;
    std::size_t open = 0;
    std::size_t failed = 0;
};

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace

int main()
{
    EventLoop serverLoop;
    const AnswerServer server(serverLoop);
    std::thread serverThread([&serverLoop] { serverLoop.run(); });
    for (const std::size_t peers : { 100, 300, 900, 1900 }) {
        EventLoop loop;
        RoundRobinCaller caller(loop, peers);
        // Opens all connections first.
        caller.run(peers * connectionsPerPeer);
        const double before = threadSeconds();
        caller.run(measuredExchanges);
        const double used = threadSeconds() - before;
        const nlohmann::json line = { { "peers", peers },
                                      { "microseconds_per_exchange",
                                        used * 1e6 / measuredExchanges },
                                      { "failed", caller.failedCalls() } };
        std::cout << line.dump() << std::endl;
    }
    serverLoop.stop();
    serverThread.join();
    return 0;
}
