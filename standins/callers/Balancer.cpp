#include "standins/callers/Balancer.h"

#include <httplib.h>

namespace bulrush::standins {

namespace {

constexpr std::chrono::milliseconds watchPeriod(200);
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
    , watcher([this] { this->watch(); })
{
}

Balancer::~Balancer()
{
    this->closing = true;
    this->watcher.join();
}

std::optional<int> Balancer::next()
{
    const std::scoped_lock lock(this->mutex);
    if (this->ready.empty()) {
        return std::nullopt;
    }
    return this->ready[this->turn++ % this->ready.size()];
}

void Balancer::watch()
{
    while (!this->closing) {
        std::vector<int> answered;
        for (const int port : this->ports) {
            if (isReady(port)) {
                answered.push_back(port);
            }
        }
        {
            const std::scoped_lock lock(this->mutex);
            this->ready = std::move(answered);
        }
        std::this_thread::sleep_for(watchPeriod);
    }
}

} // namespace bulrush::standins
