#include "soak/OddWorkerServer.h"

#include <thread>
#include <utility>

namespace bulrush::soak {

namespace {

constexpr int statusConflict = 409;
constexpr std::chrono::milliseconds reportDelay { 50 };

} // namespace

OddWorkerServer::OddWorkerServer()
    : report(R"({"clockMs":1,"born":1,"running":[],"finished":[]})")
{
    this->server.Post("/api/hold",
                      [this](const httplib::Request & /*request*/, httplib::Response &answer) {
                          std::this_thread::sleep_for(reportDelay);
                          const std::scoped_lock lock(this->mutex);
                          answer.status = this->reportStatus;
                          answer.set_content(this->report, "application/json");
                      });
    this->server.Post("/api/run-start",
                      [this](const httplib::Request &request, httplib::Response &answer) {
                          const std::scoped_lock lock(this->mutex);
                          this->started.insert(request.get_header_value("expect-instance"));
                          standins::answerJson(answer, { { "clockMs", 1 }, { "reason", "room" } },
                                               statusConflict);
                      });
    this->portNumber = this->server.start(0);
}

OddWorkerServer::~OddWorkerServer()
{
    this->server.close();
}

void OddWorkerServer::setReport(std::string body, int status)
{
    const std::scoped_lock lock(this->mutex);
    this->report = std::move(body);
    this->reportStatus = status;
}

std::set<std::string> OddWorkerServer::startedWorkers()
{
    const std::scoped_lock lock(this->mutex);
    return this->started;
}

} // namespace bulrush::soak
