#include "soak/OddRecordsRun.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace bulrush::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int nodeCount = 2;
constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr milliseconds pollInterval { 30 };

/** Longer than the interval at which the owner reads the list of workers. */
constexpr milliseconds readTime { 350 };
constexpr milliseconds reportTime { 130 };

/** Covers a change of the owner. */
constexpr seconds jobTimeout { 6 };
constexpr seconds callTimeout { 2 };

constexpr const char *usualTimeLimit = "1500";
constexpr const char *goodBody =
        R"({"spec":"x","phases":[{"count":2,"cpu":1000,"memMb":500,"estimateMs":400}]})";
constexpr const char *configuration =
        R"({"version":1,"limits":{},"services":[{"name":"review","admissionCheck":true}],)"
        R"("routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"review",)"
        R"("maxAttempts":3,"timeoutMs":1500}]})";

std::string contentsOf(const std::string &path)
{
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

} // namespace

OddRecordsRun::OddRecordsRun(const std::string &daemon, std::string runFolder)
    : folder(std::move(runFolder))
    , store(1)
{
    const int storePort = this->store.start();
    this->store.put("keyed.op", "config", configuration);
    this->addWorker("w1");
    this->addWorker("w2");
    for (int number = 1; number <= nodeCount; ++number) {
        this->nodes.push_back(
                std::make_unique<NodeProcess>(daemon, number, storePort, this->folder));
        this->nodes.back()->start();
    }
}

void OddRecordsRun::addWorker(const std::string &name)
{
    this->workers.push_back(std::make_unique<WorkerServer>(name, this->checker, 1U));
    this->store.put("keyed.servers", name, this->workers.back()->listEntry());
}

void OddRecordsRun::fail(const std::string &what, const std::string &reason)
{
    this->failures.push_back(what + ": " + reason);
}

void OddRecordsRun::checkProcesses(const std::string &what)
{
    for (const auto &node : this->nodes) {
        if (!node->checkRunning()) {
            this->fail(what, "a daemon ended by itself");
            node->start();
        }
    }
}

std::string OddRecordsRun::nextJob()
{
    std::array<char, 17> name {};
    std::snprintf(name.data(), name.size(), "%016llx",
                  static_cast<unsigned long long>(++this->jobs));
    return name.data();
}

int OddRecordsRun::submit(const std::string &job, const std::string &body,
                          const std::string &timeLimit)
{
    const NodeProcess &node = *this->nodes.at(this->jobs % this->nodes.size());
    httplib::Client client(node.address(), node.callersPort());
    client.set_connection_timeout(callTimeout);
    client.set_read_timeout(callTimeout);
    const httplib::Headers headers { { "Host", "soak.example" }, { "deadline-ms", timeLimit } };
    const auto answer = client.Post("/q/" + job, headers, body, "application/json");
    return answer ? answer->status : 0;
}

std::string OddRecordsRun::stateOf(const std::string &job)
{
    const NodeProcess &node = *this->nodes.at(this->jobs % this->nodes.size());
    httplib::Client client(node.address(), node.callersPort());
    client.set_connection_timeout(callTimeout);
    client.set_read_timeout(callTimeout);
    const auto answer = client.Get("/q/" + job, { { "Host", "soak.example" } });
    const auto state = nlohmann::json::parse(answer ? answer->body : "", nullptr, false);
    return state.is_object() ? state.value("state", "") : "";
}

bool OddRecordsRun::serveJob()
{
    const std::string job = this->nextJob();
    this->checker.recordJobSubmitted(job, { { 2, {} } });
    const auto deadline = std::chrono::steady_clock::now() + jobTimeout;
    bool accepted = false;
    while (std::chrono::steady_clock::now() < deadline) {
        if (!accepted && this->submit(job, goodBody, usualTimeLimit) == statusOk) {
            accepted = true;
            this->checker.recordJobAccepted(job);
        }
        if (accepted && this->stateOf(job) == "completed") {
            this->checker.recordJobState(job, "completed");
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

void OddRecordsRun::checkJob(const std::string &what)
{
    const bool served = this->serveJob();
    this->checkProcesses(what);
    if (!served) {
        this->fail(what, "a good job was not completed");
    }
}

void OddRecordsRun::play(const OddGroup &group)
{
    for (const OddRecord &record : group.records) {
        this->store.put(record.topic, record.key, record.value);
    }
    std::this_thread::sleep_for(readTime);
    const std::size_t failuresBefore = this->failures.size();
    this->checkJob(group.name);
    if (this->failures.size() > failuresBefore) {
        // The checks that follow are for other records.
        for (const OddRecord &record : group.records) {
            this->store.put(record.topic, record.key, "");
        }
    }
}

void OddRecordsRun::checkStarts()
{
    for (const std::string &worker : this->oddWorkers.startedWorkers()) {
        this->fail("worker " + worker, "was asked to start a task");
    }
}

void OddRecordsRun::playEntryUnderAGoodKey()
{
    const std::string what = "an odd entry under a good worker's key";
    WorkerServer &replaced = *this->workers.front();
    this->store.put("keyed.servers", replaced.workerName(), R"({"service":7})");
    std::this_thread::sleep_for(readTime);
    const std::uint64_t startsBefore = replaced.startedRuns();
    this->checkJob(what);
    if (replaced.startedRuns() != startsBefore) {
        this->fail(what, "the worker was given new tasks");
    }
    this->store.put("keyed.servers", replaced.workerName(), replaced.listEntry());
    std::this_thread::sleep_for(readTime);
    this->checkJob(what + ", and a good one again");
}

void OddRecordsRun::playReports()
{
    const std::string name = "reporter";
    this->store.put("keyed.servers", name, entryWith(this->oddReporter.port(), "slots", "8"));
    for (const std::string &report : oddReports()) {
        this->oddReporter.setReport(report);
        std::this_thread::sleep_for(reportTime);
        this->checkProcesses("a report that begins with " + report.substr(0, 80));
    }
    for (const std::string &rejection : oddRejections()) {
        this->oddReporter.setReport(rejection, statusConflict);
        std::this_thread::sleep_for(reportTime);
        this->checkProcesses("a rejection that begins with " + rejection.substr(0, 80));
    }
    this->store.put("keyed.servers", name, "");
    this->checkJob("odd reports");
}

void OddRecordsRun::playSubmissions()
{
    for (const std::string &body : oddSubmissions()) {
        const std::string what = "a submission that begins with " + body.substr(0, 80);
        if (this->submit(this->nextJob(), body, usualTimeLimit) == 0) {
            this->fail(what, "there was no answer");
        }
        this->checkProcesses(what);
    }
    this->checkJob("odd submissions");
}

void OddRecordsRun::playTimeLimits()
{
    for (const char *limit : { "9223372036854775807", "18446744073709551616", "-1", "x", "" }) {
        const std::string job = this->nextJob();
        this->checker.recordJobSubmitted(job, { { 2, {} } });
        const int status = this->submit(job, goodBody, limit);
        if (status != statusOk) {
            this->fail("a time limit of " + std::string(limit),
                       "the status was " + std::to_string(status));
        }
        this->checkProcesses("a time limit");
    }
}

void OddRecordsRun::playSettings()
{
    const std::string path = this->folder + "/node-1.yaml";
    const std::string good = contentsOf(path);
    for (const std::string &text : oddSettings()) {
        std::ofstream(path) << text;
        this->nodes.front()->requestReload();
        std::this_thread::sleep_for(reportTime);
        this->checkProcesses("settings that begin with " + text.substr(0, 40));
    }
    std::ofstream(path) << good;
    this->nodes.front()->requestReload();
    this->checkJob("odd settings");
}

void OddRecordsRun::playNewWorkers()
{
    this->addWorker("w3");
    for (const char *name : { "w1", "w2" }) {
        this->store.put("keyed.servers", name, "");
    }
    std::this_thread::sleep_for(readTime);
    this->checkJob("a worker that came after the odd entries");
}

void OddRecordsRun::restartNodes()
{
    for (const auto &node : this->nodes) {
        node->stopGracefully();
    }
    for (const auto &node : this->nodes) {
        node->start();
    }
    this->checkJob("daemons that begin with the odd records");
}

std::vector<std::string> OddRecordsRun::run()
{
    this->checkJob("no odd record");
    for (const OddGroup &group : oddWorkerEntries(this->oddWorkers.port())) {
        this->play(group);
    }
    this->playEntryUnderAGoodKey();
    this->checkStarts();
    this->playReports();
    this->play(oddConfigurations());
    // A daemon that starts reads only the newest configuration.
    this->store.put("keyed.op", "config", configuration);
    for (const OddGroup &group : oddOwnRecords()) {
        this->play(group);
    }
    this->playSettings();
    this->playSubmissions();
    this->playTimeLimits();
    this->playNewWorkers();
    this->restartNodes();
    for (const std::string &violation : this->checker.violations()) {
        this->fail("workers", violation);
    }
    return this->failures;
}

} // namespace bulrush::soak
