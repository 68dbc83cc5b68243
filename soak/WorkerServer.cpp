#include "soak/WorkerServer.h"

#include <utility>

namespace bulrush::soak {

namespace {

using nlohmann::json;

constexpr int statusConflict = 409;
constexpr int statusOtherWorker = 421;
constexpr std::int64_t runTimeMs = 400;
constexpr std::int64_t longestLeaseMs = 3000;
constexpr std::chrono::milliseconds beat { 10 };
constexpr std::int64_t percents = 100;

} // namespace

WorkerServer::WorkerServer(std::string workerName, Judge &runJudge)
    : name(std::move(workerName))
    , judge(runJudge)
    , bornAt(this->clock.nowMs())
{
    const auto handler = [this](void (WorkerServer::*call)(const Request &, Response &)) {
        return [this, call](const Request &request, Response &answer) {
            if (request.get_header_value("expect-instance") != this->name) {
                answer.status = statusOtherWorker;
                return;
            }
            (this->*call)(request, answer);
            if (this->silent) {
                standins::LoopbackServer::dropConnection();
            }
        };
    };
    this->server.Post("/api/run-start", handler(&WorkerServer::start));
    this->server.Post("/api/run-stop", handler(&WorkerServer::stop));
    this->server.Post("/api/hold", handler(&WorkerServer::hold));
    this->port = this->server.start(0);
    this->worker = std::thread([this] { this->work(); });
}

WorkerServer::~WorkerServer()
{
    this->closing = true;
    this->changed.notify_all();
    this->server.close();
    this->worker.join();
}

std::string WorkerServer::entry()
{
    const std::scoped_lock lock(this->mutex);
    const json capacity = { { "cpu", 8000 }, { "memMb", 32000 } };
    return json {
        { "service", "review" },  { "address", "127.0.0.1:" + std::to_string(this->port) },
        { "zone", "z1" },         { "state", "ready" },
        { "capacity", capacity }, { "labels", { "a", "r1-1" } },
        { "born", this->bornAt }
    }.dump();
}

void WorkerServer::crash()
{
    const std::scoped_lock lock(this->mutex);
    this->judge.workerCrashed(this->name);
    this->bornAt = this->clock.nowMs();
    this->fencingToken = 0;
    this->leaseEnd = 0;
    this->running.clear();
    this->highestAttempt.clear();
    this->ends.clear();
    this->lastEnd = 0;
    this->changed.notify_all();
}

void WorkerServer::refuse(Response &answer, const char *reason)
{
    standins::answerJson(answer, { { "clockMs", this->workerClock() }, { "reason", reason } },
                         statusConflict);
}

bool WorkerServer::admit(const json &order, Response &answer)
{
    const auto token = order.value("fencingToken", std::uint64_t { 0 });
    if (token < this->fencingToken) {
        this->refuse(answer, "fence");
        return false;
    }
    this->fencingToken = token;
    return true;
}

void WorkerServer::extend(const json &order)
{
    const auto asked = order.value("deadlineMs", std::int64_t { 0 });
    this->leaseEnd =
            std::max(this->leaseEnd, std::min(asked, this->workerClock() + longestLeaseMs));
}

void WorkerServer::start(const Request &request, Response &answer)
{
    const json order = standins::parseBody(request);
    const std::string task = order.at("task");
    const std::uint64_t attempt = order.at("attempt");
    const std::scoped_lock lock(this->mutex);
    if (!this->admit(order, answer)) {
        return;
    }
    this->extend(order);
    const auto run = this->running.find(task);
    if (run != this->running.end() && run->second.attempt == attempt) {
        standins::answerJson(answer, { { "clockMs", this->workerClock() } });
        return;
    }
    if (attempt <= this->highestAttempt[task]) {
        this->refuse(answer, "old");
        return;
    }
    if (this->leaseEnd <= this->workerClock()) {
        this->refuse(answer, "late");
        return;
    }
    this->highestAttempt[task] = attempt;
    if (run != this->running.end()) {
        this->end(task, "stopped");
    }
    this->running[task] = { attempt, this->clock.nowMs() };
    this->judge.runStarted(task, this->name);
    standins::answerJson(answer, { { "clockMs", this->workerClock() } });
}

void WorkerServer::stop(const Request &request, Response &answer)
{
    const json order = standins::parseBody(request);
    const std::string task = order.at("task");
    const std::uint64_t attempt = order.at("attempt");
    const std::scoped_lock lock(this->mutex);
    if (!this->admit(order, answer)) {
        return;
    }
    this->highestAttempt[task] = std::max(this->highestAttempt[task], attempt);
    const auto run = this->running.find(task);
    if (run != this->running.end() && run->second.attempt <= attempt) {
        this->end(task, "stopped");
    }
    standins::answerJson(answer, { { "clockMs", this->workerClock() } });
}

void WorkerServer::end(const std::string &task, const std::string &how)
{
    const Run run = this->running.at(task);
    this->running.erase(task);
    this->judge.runEnded(task, this->name, how == "done");
    this->ends.push_back({ ++this->lastEnd, task, run.attempt, how });
    this->changed.notify_all();
}

void WorkerServer::hold(const Request &request, Response &answer)
{
    const json order = standins::parseBody(request);
    const auto seen = order.value("lastSeen", std::uint64_t { 0 });
    std::unique_lock lock(this->mutex);
    if (!this->admit(order, answer)) {
        return;
    }
    this->extend(order);
    for (const End &each : this->ends) {
        if (each.number <= seen && each.how == "done") {
            this->judge.endAcknowledged(each.task);
        }
    }
    std::erase_if(this->ends, [seen](const End &each) { return each.number <= seen; });
    const std::chrono::milliseconds wait(order.value("waitMs", 0));
    this->changed.wait_for(lock, wait, [this] { return this->closing || !this->ends.empty(); });
    json running = json::array();
    for (const auto &[task, run] : this->running) {
        const std::int64_t percent = percents * (this->clock.nowMs() - run.startedAt) / runTimeMs;
        running.push_back({ task, run.attempt, "", std::min(percents - 1, percent), 0 });
    }
    json finished = json::array();
    for (const End &each : this->ends) {
        finished.push_back({ each.number, each.task, each.attempt, each.how, "" });
    }
    standins::answerJson(answer,
                         { { "clockMs", this->workerClock() },
                           { "born", this->bornAt },
                           { "running", running },
                           { "finished", finished } });
}

void WorkerServer::work()
{
    while (!this->closing) {
        std::this_thread::sleep_for(beat);
        const std::scoped_lock lock(this->mutex);
        const bool lapsed = this->workerClock() >= this->leaseEnd;
        std::vector<std::string> over;
        for (const auto &[task, run] : this->running) {
            if (lapsed || this->clock.nowMs() - run.startedAt >= runTimeMs) {
                over.push_back(task);
            }
        }
        for (const std::string &task : over) {
            this->end(task, lapsed ? "lapsed" : "done");
        }
    }
}

} // namespace bulrush::soak
