#pragma once

#include "standins/common/LoopbackServer.h"
#include "standins/common/ProcessClock.h"
#include "standins/platform/LogStore.h"
#include "standins/platform/VmList.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace bulrush::standins {

/** The faults that a test can inject. */
struct PlatformControl
{
    bool outage = false;
    std::int64_t slowMs = 0;
    std::int64_t loseAnswers = 0;
    std::uint64_t retainRecords = 0;
    std::int64_t listLagMs = 0;
    bool refuseAppends = false;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlatformControl, outage, slowMs, loseAnswers,
                                                retainRecords, listLagMs, refuseAppends)

/** Counters of the log service. */
struct PlatformStats
{
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytesOut = 0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlatformStats, appends, reads, bytesOut)

/** Stand-in for the platform: its log service and its list of VMs, over HTTP. */
class PlatformServer
{
public:
    PlatformServer();
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** Serves on a loopback port, 0 for any free one, and returns the port. */
    int start(int port) { return this->server.start(port); }

private:
    using Lock = std::unique_lock<std::mutex>;
    using Handler = void (PlatformServer::*)(Lock &, const httplib::Request &, httplib::Response &);

    httplib::Server::Handler withFaults(Handler handler);
    bool applyFaults(Lock &lock, httplib::Response &answer);

    void append(Lock &lock, const httplib::Request &request, httplib::Response &answer);
    void read(Lock &lock, const httplib::Request &request, httplib::Response &answer);
    void listVms(Lock &lock, const httplib::Request &request, httplib::Response &answer);
    void putVm(Lock &lock, const httplib::Request &request, httplib::Response &answer);
    void changeControl(const httplib::Request &request, httplib::Response &answer);
    void showStats(httplib::Response &answer);

    const ProcessClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    bool closing = false;
    PlatformControl control;
    PlatformStats stats;
    LogStore log;
    VmList vms;
    // Declared last, so that it stops serving before the state above is destroyed.
    LoopbackServer server;
};

} // namespace bulrush::standins
