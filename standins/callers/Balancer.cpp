#include "standins/callers/Balancer.h"

#include <httplib.h>

namespace bulrush::standins {

namespace {

constexpr std::chrono::milliseconds pollInterval(200);
constexpr std::chrono::milliseconds probeTimeout(300);

bool isReady(int port)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(probeTimeout);
    client.set_read_timeout(probeTimeout);
    const httplib::Result result = client.Get("/ready");
    return result && result->status == 200;
}

} // namespace

Balancer::Balancer(std::vector<int> nodePorts)
    : ports(std::move(nodePorts))
    , pollThread([this] { this->pollReadiness(); })
{
}

Balancer::~Balancer()
{
    this->closing = true;
    this->pollThread.join();
}

std::optional<int> Balancer::next()
{
    const std::scoped_lock lock(this->mutex);
    if (this->readyPorts.empty()) {
        return std::nullopt;
    }
    return this->readyPorts[this->nextIndex++ % this->readyPorts.size()];
}

void Balancer::pollReadiness()
{
    while (!this->closing) {
        std::vector<int> responding;
        for (const int port : this->ports) {
            if (isReady(port)) {
                responding.push_back(port);
            }
        }
        {
            const std::scoped_lock lock(this->mutex);
            this->readyPorts = std::move(responding);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace bulrush::standins
