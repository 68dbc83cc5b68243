#include "standins/platform/PlatformServer.h"

#include <chrono>
#include <limits>

namespace bulrush::standins {

namespace {

constexpr std::size_t maxRecordBytes = 1024 * 1024;
constexpr std::int64_t maxRecordsPerRead = 10'000;
constexpr std::int64_t defaultRecordsPerRead = 1000;
constexpr std::int64_t maxWaitMs = 60'000;

/** Returns whether the text is valid UTF-8; records are embedded in JSON, which holds only text. */
bool isUtf8(const std::string &text)
{
    try {
        const std::string dumped = nlohmann::json(text).dump();
        return !dumped.empty();
    } catch (const nlohmann::json::type_error &) {
        return false;
    }
}

} // namespace

PlatformServer::PlatformServer()
{
    using httplib::Request;
    using httplib::Response;
    this->server.set_payload_max_length(maxRecordBytes);
    this->server.Post("/log/(.+)", this->withFaults(&PlatformServer::append));
    this->server.Get("/log/(.+)", this->withFaults(&PlatformServer::read));
    this->server.Get("/vms", this->withFaults(&PlatformServer::listVms));
    this->server.Post("/vms", this->withFaults(&PlatformServer::putVm));
    this->server.Post("/control", [this](const Request &request, Response &answer) {
        this->changeControl(request, answer);
    });
    this->server.Get("/stats",
                     [this](const Request &, Response &answer) { this->showStats(answer); });
}

PlatformServer::~PlatformServer()
{
    {
        const Lock lock(this->mutex);
        this->closing = true;
    }
    this->changed.notify_all();
    this->server.close();
}

httplib::Server::Handler PlatformServer::withFaults(Handler handler)
{
    return [this, handler](const httplib::Request &request, httplib::Response &answer) {
        Lock lock(this->mutex);
        if (this->applyFaults(lock, answer)) {
            (this->*handler)(lock, request, answer);
            this->stats.bytesOut += answer.body.size();
        }
    };
}

bool PlatformServer::applyFaults(Lock &lock, httplib::Response &answer)
{
    const auto delay = std::chrono::milliseconds(this->control.slowMs);
    if (!this->control.outage && delay.count() > 0) {
        this->changed.wait_for(lock, delay,
                               [this] { return this->closing || this->control.outage; });
    }
    if (this->control.outage || this->closing) {
        answerJson(answer, { { "error", "outage" } }, 503);
        return false;
    }
    return true;
}

void PlatformServer::append(Lock &, const httplib::Request &request, httplib::Response &answer)
{
    if (this->control.refuseAppends) {
        answerJson(answer, { { "error", "appends are refused" } }, 429);
        return;
    }
    if (!isUtf8(request.body)) {
        answerJson(answer, { { "error", "the record is not UTF-8" } }, 400);
        return;
    }
    const std::uint64_t offset =
            this->log.append(request.matches[1], request.body, this->clock.nowMs());
    ++this->stats.appends;
    this->changed.notify_all();
    if (this->control.loseAnswers > 0) {
        --this->control.loseAnswers;
        LoopbackServer::dropConnection();
        return;
    }
    answerJson(answer, { { "offset", offset } });
}

void PlatformServer::read(Lock &lock, const httplib::Request &request, httplib::Response &answer)
{
    const std::string stream = request.matches[1];
    const auto from = static_cast<std::uint64_t>(
            numberParameter(request, "from", 0, std::numeric_limits<std::int64_t>::max()));
    const auto max = static_cast<std::size_t>(
            numberParameter(request, "max", defaultRecordsPerRead, maxRecordsPerRead));
    const std::chrono::milliseconds wait(numberParameter(request, "waitMs", 0, maxWaitMs));
    this->changed.wait_for(lock, wait, [&] {
        return this->closing || this->control.outage || this->log.hasUpdate(stream, from);
    });
    if (this->closing || this->control.outage) {
        LoopbackServer::dropConnection();
        return;
    }
    ++this->stats.reads;
    answerJson(answer, toJson(this->log.read(stream, from, max)));
}

void PlatformServer::listVms(Lock &, const httplib::Request &, httplib::Response &answer)
{
    answerJson(answer, this->vms.list(this->clock.nowMs(), this->control.listLagMs));
}

void PlatformServer::putVm(Lock &, const httplib::Request &request, httplib::Response &answer)
{
    const Vm vm = parseBody(request).get<Vm>();
    if (!isValid(vm)) {
        answerJson(answer, { { "error", "unknown role or state, or no name" } }, 400);
        return;
    }
    this->vms.put(vm, this->clock.nowMs());
    answerJson(answer, vm);
}

void PlatformServer::changeControl(const httplib::Request &request, httplib::Response &answer)
{
    const nlohmann::json changes = parseBody(request);
    const Lock lock(this->mutex);
    this->control = withChanges(this->control, changes).get<PlatformControl>();
    this->log.retain(this->control.retainRecords);
    this->changed.notify_all();
    answerJson(answer, this->control);
}

void PlatformServer::showStats(httplib::Response &answer)
{
    const Lock lock(this->mutex);
    answerJson(answer, this->stats);
}

} // namespace bulrush::standins
