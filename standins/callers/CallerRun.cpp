#include "standins/callers/CallerRun.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace bulrush::standins {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int maxTries = 25;
constexpr std::chrono::milliseconds pauseBetweenTries(200);
constexpr int statusUnknown = 504;
constexpr int statusDuplicate = 409;

std::string makeKey(int number)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto unixSeconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    return std::to_string(unixSeconds) + "-k" + std::to_string(number);
}

std::chrono::milliseconds retryAfter(const httplib::Result &result)
{
    const std::string headerText = result->get_header_value("bulrush-retry-after-ms");
    return headerText.empty() ? pauseBetweenTries
                              : std::chrono::milliseconds(std::stoi(headerText));
}

} // namespace

struct CallerRun::Request
{
    std::string content;
    std::string key;
    Clock::time_point startedAt;
};

CallerRun::CallerRun(CallerSettings callerSettings, Balancer &callersBalancer)
    : settings(std::move(callerSettings))
    , balancer(callersBalancer)
{
}

CallerCounts CallerRun::run()
{
    std::atomic<int> next = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < this->settings.parallel; ++caller) {
        callers.emplace_back([this, &next] {
            for (int number = next++; number < this->settings.requests; number = next++) {
                this->call(number);
                std::this_thread::sleep_for(std::chrono::milliseconds(this->settings.pauseMs));
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return this->counts;
}

void CallerRun::call(int number)
{
    Request request;
    request.content = "content of request " + std::to_string(number);
    request.key = this->settings.keyed ? makeKey(number) : "";
    request.startedAt = Clock::now();
    for (int tries = 0; tries < maxTries; ++tries) {
        if (this->tryOnce(request, tries == 0)) {
            return;
        }
    }
    const std::scoped_lock lock(this->mutex);
    ++this->counts.givenUp;
}

bool CallerRun::tryOnce(const Request &request, bool isFirstTry)
{
    const std::optional<int> port = this->balancer.next();
    if (!port) {
        std::this_thread::sleep_for(pauseBetweenTries);
        return false;
    }
    httplib::Client client("127.0.0.1", *port);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(std::chrono::milliseconds(this->settings.deadlineMs * 2));
    httplib::Headers headers { { "bulrush-deadline-ms", std::to_string(this->settings.deadlineMs) },
                               { "bulrush-idempotent", this->settings.keyed ? "0" : "1" } };
    if (this->settings.keyed) {
        headers.emplace("idempotency-key", request.key);
        headers.emplace("bulrush-first-try", isFirstTry ? "1" : "0");
    }
    const std::string path = "/services/" + this->settings.service
            + "/serve/check?sleepMs=" + std::to_string(this->settings.workMs);
    const httplib::Result result = client.Post(path, headers, request.content, "text/plain");
    {
        const std::scoped_lock lock(this->mutex);
        ++this->counts.tries;
    }
    if (!result) {
        // The connection to the node failed, so whether the request ran is unknown.
        this->recordOutcome(request, KeyOutcome::Unknown, nullptr);
        std::this_thread::sleep_for(pauseBetweenTries);
        return false;
    }
    if (result->status == 200) {
        const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
        const bool echoMatches = answer.is_object() && answer.value("echo", "") == request.content;
        this->recordOutcome(request, KeyOutcome::Answered,
                            echoMatches ? &CallerCounts::answered : &CallerCounts::wrong);
        return true;
    }
    if (result->status == statusDuplicate) {
        this->recordOutcome(request, KeyOutcome::Answered, &CallerCounts::duplicate);
        return true;
    }
    if (result->status == statusUnknown && this->settings.keyed) {
        this->recordOutcome(request, KeyOutcome::Unknown, &CallerCounts::unknown);
        return true;
    }
    this->recordOutcome(request, KeyOutcome::NotRun, nullptr);
    std::this_thread::sleep_for(std::min(retryAfter(result), std::chrono::milliseconds(2000)));
    return false;
}

void CallerRun::recordOutcome(const Request &request, KeyOutcome outcome,
                              int CallerCounts::*counter)
{
    const std::chrono::duration<double, std::milli> elapsed = Clock::now() - request.startedAt;
    const std::scoped_lock lock(this->mutex);
    if (!request.key.empty()) {
        const auto [entry, added] = this->keyOutcomes.try_emplace(request.key, outcome);
        // A later "not run" is about another try, so it does not settle an unknown outcome.
        const bool staysUnknown =
                !added && entry->second == KeyOutcome::Unknown && outcome == KeyOutcome::NotRun;
        entry->second = staysUnknown ? KeyOutcome::Unknown : outcome;
    }
    if (counter != nullptr) {
        ++(this->counts.*counter);
        this->counts.slowestMs = std::max(this->counts.slowestMs, elapsed.count());
    }
}

} // namespace bulrush::standins
