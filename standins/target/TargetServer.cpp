#include "standins/target/TargetServer.h"

#include <chrono>
#include <utility>

namespace bulrush::standins {

namespace {

constexpr std::int64_t maxSleepMs = 600'000;
constexpr std::int64_t maxAnswerBytes = 64 * 1024 * 1024;

/** Pads the value so that its JSON text has at least this many bytes. */
void pad(nlohmann::json &value, std::size_t bytes)
{
    value["padding"] = "";
    const std::size_t length =
            value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size();
    if (length < bytes) {
        value["padding"] = std::string(bytes - length, 'x');
    }
}

} // namespace

TargetServer::TargetServer(TargetSettings targetSettings)
    : settings(std::move(targetSettings))
    , registry(this->settings.capacity,
               this->settings.name + "." + std::to_string(this->clock.nowMs()))
    , slots(this->settings.slots)
{
    using httplib::Request;
    using httplib::Response;
    this->server.Post("/worker/exchange", this->withFaults(&TargetServer::exchange));
    this->server.Post("/worker/renew", this->withFaults(&TargetServer::renew));
    this->server.Get("/healthz", this->withFaults(&TargetServer::health));
    this->addServeHandlers();
    this->server.Post("/control", [this](const Request &request, Response &answer) {
        this->changeControl(request, answer);
    });
    this->server.Get("/stats",
                     [this](const Request &, Response &answer) { this->showStats(answer); });
}

TargetServer::~TargetServer()
{
    this->gate.close();
    this->server.close();
}

void TargetServer::addServeHandlers()
{
    constexpr const char *pattern = "/serve/(.*)";
    const httplib::Server::Handler handler = this->withFaults(&TargetServer::serve);
    this->server.Get(pattern, handler);
    this->server.Post(pattern, handler);
    this->server.Put(pattern, handler);
    this->server.Patch(pattern, handler);
    this->server.Delete(pattern, handler);
    this->server.Options(pattern, handler);
}

httplib::Server::Handler TargetServer::withFaults(Handler handler)
{
    return [this, handler](const httplib::Request &request, httplib::Response &answer) {
        if (!this->gate.waitUntilOpen()) {
            LoopbackServer::dropConnection();
            return;
        }
        (this->*handler)(request, answer);
        this->addLoadHeaders(answer);
        this->truncateIfRequested(answer);
    };
}

void TargetServer::truncateIfRequested(httplib::Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    if (this->control.truncateNext > 0) {
        --this->control.truncateNext;
        LoopbackServer::truncate(answer);
    }
}

void TargetServer::exchange(const httplib::Request &request, httplib::Response &answer)
{
    const ExchangeRequest commands = exchangeRequestFrom(parseBody(request));
    const std::scoped_lock lock(this->mutex);
    nlohmann::json result = toJson(this->registry.exchange(commands, this->clock.nowMs()));
    result["worker"] = this->settings.name;
    result["leaving"] = this->slots.isLeaving();
    result["capacity"] = this->registry.capacity();
    answerJson(answer, result);
}

void TargetServer::renew(const httplib::Request &request, httplib::Response &answer)
{
    const std::vector<RenewCommand> commands = renewCommandsFrom(parseBody(request));
    const std::scoped_lock lock(this->mutex);
    const std::size_t renewed = this->registry.renew(commands, this->clock.nowMs());
    answerJson(answer,
               { { "worker", this->settings.name },
                 { "leaving", this->slots.isLeaving() },
                 { "renewed", renewed } });
}

void TargetServer::serve(const httplib::Request &request, httplib::Response &answer)
{
    const std::chrono::milliseconds time(numberParameter(request, "sleepMs", 0, maxSleepMs));
    const auto bytes =
            static_cast<std::size_t>(numberParameter(request, "bytes", 0, maxAnswerBytes));
    std::uint64_t execution = 0;
    {
        const std::scoped_lock lock(this->mutex);
        execution = this->slots.tryAcquire(request.get_header_value("Idempotency-Key"));
    }
    if (execution == 0) {
        answer.set_header("Bulrush-Not-Started", "1");
        answerJson(answer, { { "error", "no slot is free" } }, 503);
        return;
    }
    this->gate.sleep(time);
    this->answerServed(request, answer, execution, bytes);
    const std::scoped_lock lock(this->mutex);
    this->slots.release();
}

void TargetServer::answerServed(const httplib::Request &request, httplib::Response &answer,
                                std::uint64_t execution, std::size_t bytes)
{
    nlohmann::json result = { { "target", this->settings.name },
                              { "path", request.path },
                              { "method", request.method },
                              { "echo", request.body },
                              { "execution", execution } };
    if (bytes > 0) {
        pad(result, bytes);
    }
    bool failing = false;
    {
        const std::scoped_lock lock(this->mutex);
        failing = this->control.failEverything;
    }
    answerJson(answer, result, failing ? 500 : 200);
}

void TargetServer::health(const httplib::Request &, httplib::Response &answer)
{
    answerJson(answer, { { "target", this->settings.name } });
}

void TargetServer::addLoadHeaders(httplib::Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    answer.set_header("Bulrush-Load", this->slots.load());
    if (this->slots.isLeaving()) {
        answer.set_header("Bulrush-Leaving", "1");
    }
}

void TargetServer::changeControl(const httplib::Request &request, httplib::Response &answer)
{
    const nlohmann::json changes = parseBody(request);
    const std::scoped_lock lock(this->mutex);
    this->control = withChanges(this->control, changes).get<TargetControl>();
    this->slots.setLeaving(this->control.leaving);
    this->registry.failStarts(this->control.failStarts || this->control.failEverything);
    this->gate.setSilent(this->control.silent);
    if (changes.contains("freezeMs")) {
        this->gate.freeze(std::chrono::milliseconds(this->control.freezeMs));
    }
    answerJson(answer, this->control);
}

void TargetServer::showStats(httplib::Response &answer)
{
    const std::scoped_lock lock(this->mutex);
    nlohmann::json runs = nlohmann::json::array();
    for (const RunRecord &run : this->registry.runs(this->clock.nowMs())) {
        runs.push_back(toJson(run));
    }
    answerJson(answer,
               { { "executions", this->slots.executions() },
                 { "served", this->slots.served() },
                 { "refused", this->slots.refused() },
                 { "busy", this->slots.busy() },
                 { "overCommits", this->registry.overCommits() },
                 { "runs", std::move(runs) } });
}

} // namespace bulrush::standins
