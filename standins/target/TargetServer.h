#pragma once

#include "standins/common/LoopbackServer.h"
#include "standins/common/ProcessClock.h"
#include "standins/target/AttemptRegistry.h"
#include "standins/target/ExecutorSlots.h"
#include "standins/target/RequestGate.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>

namespace bulrush::standins {

/** Name and capacity of a target. */
struct TargetSettings
{
    std::string name;
    Resources capacity;
    int slots = 0;
};

/** The faults that a test can inject; freezes and truncations end by themselves. */
struct TargetControl
{
    bool leaving = false;
    bool failStarts = false;
    bool failEverything = false;
    std::int64_t freezeMs = 0;
    bool silent = false;
    std::int64_t truncateNext = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TargetControl, leaving, failStarts, failEverything,
                                                freezeMs, silent, truncateNext)

/** Stand-in for a target: a worker and an executor in one, over HTTP. */
class TargetServer
{
public:
    explicit TargetServer(TargetSettings settings);
    ~TargetServer();

    TargetServer(const TargetServer &) = delete;
    TargetServer &operator=(const TargetServer &) = delete;

    /** Serves on a loopback port, 0 for any free one, and returns the port. */
    int start(int port) { return this->server.start(port); }

private:
    using Handler = void (TargetServer::*)(const httplib::Request &, httplib::Response &);

    httplib::Server::Handler withFaults(Handler handler);
    void addServeHandlers();
    void truncateIfRequested(httplib::Response &answer);

    void exchange(const httplib::Request &request, httplib::Response &answer);
    void renew(const httplib::Request &request, httplib::Response &answer);
    void serve(const httplib::Request &request, httplib::Response &answer);
    void answerServed(const httplib::Request &request, httplib::Response &answer,
                      std::uint64_t execution, std::size_t bytes);
    void health(const httplib::Request &request, httplib::Response &answer);
    void addLoadHeaders(httplib::Response &answer);
    void changeControl(const httplib::Request &request, httplib::Response &answer);
    void showStats(httplib::Response &answer);

    const TargetSettings settings;
    const ProcessClock clock;
    RequestGate gate;
    std::mutex mutex;
    TargetControl control;
    AttemptRegistry registry;
    ExecutorSlots slots;
    // Declared last, so that it stops serving before the state above is destroyed.
    LoopbackServer server;
};

} // namespace bulrush::standins
