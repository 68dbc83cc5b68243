#include "soak/SoakCallers.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <utility>

namespace bulrush::soak {

namespace {

using nlohmann::json;

constexpr int maxAttempts = 8;
constexpr std::chrono::milliseconds pause { 60 };
constexpr std::chrono::milliseconds answerTimeout { 1500 };
constexpr int statusOk = 200;

/** One in `cancelOneIn` accepted jobs is cancelled; one in `resubmitOneIn` jobs is submitted twice.
 */
constexpr unsigned cancelOneIn = 15;
constexpr unsigned resubmitOneIn = 5;

httplib::Client makeClient(const std::string &address, int port)
{
    httplib::Client client(address, port);
    client.set_connection_timeout(answerTimeout);
    client.set_read_timeout(answerTimeout);
    client.set_default_headers({ { "Host", "soak.example" }, { "deadline-ms", "1500" } });
    return client;
}

/** Whether the tasks of a job fill; about a third of the jobs do. */
bool fills(const std::string &job)
{
    return job.back() <= '4';
}

std::string jobBody(const std::string &job, const std::vector<JobStep> &steps)
{
    json phases = json::array();
    for (const JobStep &step : steps) {
        json phase = {
            { "count", step.tasks }, { "cpu", 1000 }, { "memMb", 500 }, { "estimateMs", 400 }
        };
        if (fills(job)) {
            phase["fills"] = true;
            phase["image"] = "soak";
        }
        if (!step.dependsOn.empty()) {
            phase["dependsOn"] = step.dependsOn;
        }
        phases.push_back(phase);
    }
    return json { { "spec", "soak" }, { "phases", phases } }.dump();
}

} // namespace

SoakCallers::SoakCallers(std::vector<std::string> nodeAddresses, int callersPort,
                         InvariantChecker &runChecker, unsigned seed)
    : addresses(std::move(nodeAddresses))
    , port(callersPort)
    , checker(runChecker)
    , random(seed)
    , thread([this] { this->run(); })
{
}

SoakCallers::~SoakCallers()
{
    this->submitting = false;
    this->thread.join();
}

const std::string &SoakCallers::randomNode()
{
    return this->addresses.at(this->random() % this->addresses.size());
}

httplib::Client &SoakCallers::openConnection(const std::string &address)
{
    std::unique_ptr<httplib::Client> &client = this->connections[address];
    if (client == nullptr) {
        client = std::make_unique<httplib::Client>(makeClient(address, this->port));
        client->set_keep_alive(true);
    }
    return *client;
}

void SoakCallers::run()
{
    while (this->submitting) {
        this->submit();
        std::this_thread::sleep_for(pause);
    }
}

void SoakCallers::submit()
{
    std::array<char, 17> name {};
    std::snprintf(name.data(), name.size(), "%016llx",
                  static_cast<unsigned long long>(this->random()));
    const std::string job(name.data());
    std::vector<JobStep> steps { { 1 + static_cast<std::uint32_t>(this->random() % 4), {} } };
    if (this->random() % 2 == 0) {
        steps.push_back({ 2, { 0 } });
    }
    this->checker.recordJobSubmitted(job, steps);
    const std::string requestBody = jobBody(job, steps);
    bool accepted = false;
    bool resubmit = this->random() % resubmitOneIn == 0;
    for (int attempt = 0; attempt < maxAttempts && (!accepted || resubmit); ++attempt) {
        resubmit = resubmit && !accepted;
        httplib::Client &client = this->openConnection(this->randomNode());
        const auto answer = client.Post("/q/" + job, requestBody, "application/json");
        if (answer && answer->status == statusOk) {
            this->checker.recordJobAccepted(job);
            accepted = true;
        } else {
            std::this_thread::sleep_for(pause);
        }
    }
    if (accepted && this->random() % cancelOneIn == 0) {
        this->cancel(job);
    }
}

void SoakCallers::cancel(const std::string &job)
{
    this->checker.recordJobCancelled(job);
    this->openConnection(this->randomNode()).Delete("/q/" + job);
}

void SoakCallers::queryState(const std::string &job)
{
    httplib::Client client = makeClient(this->randomNode(), this->port);
    const auto answer = client.Get("/q/" + job);
    if (!answer || answer->status != statusOk) {
        return;
    }
    const json state = json::parse(answer->body, nullptr, false);
    if (state.is_object()) {
        this->checker.recordJobState(job, state.value("state", ""));
    }
}

void SoakCallers::queryUnfinishedJobs()
{
    for (const std::string &job : this->checker.unfinishedJobs()) {
        this->queryState(job);
    }
}

} // namespace bulrush::soak
