#include "soak/SoakCallers.h"

#include <httplib.h>

#include "soak/WorkerServer.h"

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
constexpr int statusGone = 410;

/** How long a caller that leaves early waits for its answer. */
constexpr std::chrono::milliseconds shortPatience { 40 };
constexpr int maxCancellationAttempts = 100;

/** One in `cancelOneIn` accepted jobs is cancelled; one in `resubmitOneIn` jobs is submitted twice.
 */
constexpr unsigned cancelOneIn = 15;
constexpr unsigned resubmitOneIn = 5;

/** One in so many callers leaves early. */
constexpr unsigned leaveOneIn = 4;

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

std::string lastingJobBody()
{
    const json phase = { { "count", 1 },
                         { "cpu", 100 },
                         { "memMb", 100 },
                         { "estimateMs", 400 },
                         { "longRunning", true } };
    return json { { "spec", WorkerServer::lastingPayload }, { "phases", { phase } } }.dump();
}

} // namespace

SoakCallers::SoakCallers(std::vector<std::string> nodeAddresses, int callersPort,
                         InvariantChecker &runChecker, unsigned seed, bool someLeaveEarly)
    : addresses(std::move(nodeAddresses))
    , port(callersPort)
    , checker(runChecker)
    , leavesEarly(someLeaveEarly)
    , random(seed)
    , leavingRandom(seed + 1)
    , thread([this] { this->run(); })
{
}

SoakCallers::~SoakCallers()
{
    this->submitting = false;
    this->waitUntilStopped();
}

void SoakCallers::waitUntilStopped()
{
    if (this->thread.joinable()) {
        this->thread.join();
    }
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
        if (this->leavesEarly && this->leavingRandom() % leaveOneIn == 0) {
            this->submitAndLeave();
        }
        std::this_thread::sleep_for(pause);
    }
}

std::string SoakCallers::randomJob(std::mt19937_64 &generator)
{
    std::array<char, 17> name {};
    std::snprintf(name.data(), name.size(), "%016llx",
                  static_cast<unsigned long long>(generator()));
    return name.data();
}

void SoakCallers::submit()
{
    const std::string job = randomJob(this->random);
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

void SoakCallers::submitAndLeave()
{
    const std::string job = randomJob(this->leavingRandom);
    const auto node = [this]() -> const std::string & {
        return this->addresses.at(this->leavingRandom() % this->addresses.size());
    };
    this->checker.recordJobSubmitted(job, { { 1, {} } });
    this->checker.recordJobCancelled(job);
    {
        httplib::Client leaving = makeClient(node(), this->port);
        leaving.set_read_timeout(shortPatience);
        leaving.Post("/q/" + job, lastingJobBody(), "application/json");
    }
    for (int attempt = 0; attempt < maxCancellationAttempts; ++attempt) {
        const auto answer = makeClient(node(), this->port).Delete("/q/" + job);
        if (answer && (answer->status == statusOk || answer->status == statusGone)) {
            this->checker.recordCancellationAcknowledged(job);
            return;
        }
        std::this_thread::sleep_for(pause);
    }
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
