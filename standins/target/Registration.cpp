#include "standins/target/Registration.h"

#include <httplib.h>

#include <thread>

namespace bulrush::standins {

namespace {

constexpr std::chrono::milliseconds retryInterval(200);
constexpr std::chrono::seconds callTimeout(2);

bool registerRole(httplib::Client &platform, const RegistrationDetails &details, const char *role)
{
    nlohmann::json vm = details.capacity;
    vm["vm"] = details.name;
    vm["dataCentre"] = details.dataCentre;
    vm["rack"] = details.rack;
    vm["role"] = role;
    vm["address"] = "127.0.0.1";
    vm["port"] = details.port;
    vm["state"] = "live";
    const httplib::Result answer = platform.Post("/vms", vm.dump(), "application/json");
    return answer && answer->status == 200;
}

} // namespace

bool registerAtPlatform(const RegistrationDetails &details, int platformPort,
                        std::chrono::milliseconds timeout)
{
    httplib::Client platform("127.0.0.1", platformPort);
    platform.set_connection_timeout(callTimeout);
    platform.set_read_timeout(callTimeout);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (true) {
        if (registerRole(platform, details, "worker")
            && registerRole(platform, details, "executor")) {
            return true;
        }
        if (std::chrono::steady_clock::now() + retryInterval >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(retryInterval);
    }
}

} // namespace bulrush::standins
