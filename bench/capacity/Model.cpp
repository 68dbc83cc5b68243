#include "Model.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>

namespace bulrush::bench {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr double secondsPerDay = 86'400;
constexpr double exchangePeriod = 15; ///< seconds; the default of Durations::exchangePeriod
constexpr double ticksPerSecond = 20; ///< of a GroupManager
constexpr double readsPerSecond = 2; ///< of a stream without new records
constexpr double heartbeatsPerSecond = 2;
constexpr double vmReadsPerSecond = 1;
constexpr double finishedCheckPeriod = 0.5; ///< seconds between two checks for finished jobs
constexpr double proposedVmListPeriod = 10; ///< seconds
constexpr double proposedExchangePeriod = 30; ///< seconds
constexpr double proposedWorkersPerGroup = 44;
constexpr double proposedHeartbeatPeriodFactor = 2; ///< relative to the current heartbeat period
constexpr double proposedReadsPerSecond = 0.5;
constexpr double proposedHeartbeatPeers = 8;
constexpr double busyReadsPerSecond = 20; ///< of a busy stream: one per round trip to the log
constexpr int maxNodes = 2'000;

} // namespace

Cost &Cost::operator+=(const Cost &other)
{
    this->each += other.each;
    this->shared += other.shared;
    this->perPeer += other.perPeer;
    return *this;
}

Model::Model(const std::vector<Series> &series, const Target &systemTarget,
             const Assumptions &assumptions)
    : allSeries(series)
    , target(systemTarget)
    , assumed(assumptions)
{
}

const Series &Model::find(const std::string &name) const
{
    const auto found =
            std::find_if(this->allSeries.begin(), this->allSeries.end(),
                         [&name](const Series &series) { return series.name() == name; });
    if (found == this->allSeries.end()) {
        throw Error("compute capacity model", name, "no such series");
    }
    return *found;
}

Fit Model::fit(const std::string &name) const
{
    return fitLine(this->find(name).points);
}

double Model::valueAtMaxSize(const std::string &name) const
{
    return this->find(name).points.back().value;
}

double Model::valueAt(const std::string &name, double size) const
{
    const std::vector<Point> &points = this->find(name).points;
    const auto found = std::find_if(points.begin(), points.end(),
                                    [size](const Point &point) { return point.size == size; });
    if (found == points.end()) {
        throw Error("compute capacity model", name, "not measured at size " + std::to_string(size));
    }
    return found->value;
}

std::vector<RoleCost> Model::today() const
{
    const double groups = this->target.workers / this->assumed.workersPerGroup;
    return { this->baseProcess(),
             this->vmList(),
             this->exchanges(),
             this->ticks(),
             this->groupStreams(this->assumed.workersPerGroup),
             this->workStream(this->assumed.workersPerGroup, 1),
             this->records(this->assumed.logLatency / finishedCheckPeriod, busyReadsPerSecond),
             this->emptyReads(groups, readsPerSecond),
             this->heartbeats(),
             this->keys(1) };
}

/** @see docs/CAPACITY.md, "What would carry it" */
std::vector<RoleCost> Model::proposed() const
{
    const double workersPerGroup = proposedWorkersPerGroup;
    const double groups = this->target.workers / workersPerGroup;
    return { this->baseProcess(),
             this->vmListPerDataCentre(),
             this->compactExchanges(),
             this->changeDrivenOwners(),
             this->groupStreams(workersPerGroup),
             this->workStream(workersPerGroup, this->target.dataCentres),
             this->records(0, 1),
             this->emptyReads(groups, proposedReadsPerSecond),
             this->heartbeats(proposedHeartbeatPeers),
             this->keys(this->target.dataCentres) };
}

//==============================================================================
/** The process itself, as in an idle daemon, which tools/measure-daemon measures separately. */
RoleCost Model::baseProcess() const
{
    const Fit idle = this->fit("daemon/resident memory");
    const Fit core = this->fit("daemon/idle processor time");
    return {
        "process", {}, { core.intercept / microsPerSecond, 0, 0 }, { idle.intercept, 0, 0 }, {}
    };
}

RoleCost Model::vmList() const
{
    const double bytes = this->fit("platform/list of VMs").at(this->target.workers);
    const double micros = this->fit("platform/list of VMs read").at(this->target.workers);
    RoleCost cost { "list of VMs", {}, {}, {}, {} };
    cost.bytes.each = vmReadsPerSecond * (bytes + this->assumed.httpBytes);
    cost.core.each = vmReadsPerSecond * micros / microsPerSecond;
    cost.memory.each = bytes;
    return cost;
}

/** One node of each data centre reads the list of that data centre and sends the changes to the
    others. */
RoleCost Model::vmListPerDataCentre() const
{
    const double readers = this->target.dataCentres;
    const double vms = this->target.workers / readers;
    const double bytes = this->fit("platform/list of VMs").at(vms);
    const double micros = this->fit("platform/list of VMs read").at(vms);
    const double reads = readers / proposedVmListPeriod;
    RoleCost cost { "list of VMs", {}, {}, {}, {} };
    cost.bytes.shared = reads * (bytes + this->assumed.httpBytes);
    cost.core.shared = reads * micros / microsPerSecond;
    cost.memory.each = bytes;
    return cost;
}

double Model::exchangeBytes(const std::string &seriesSuffix, double tasks) const
{
    return this->fit("group owner/exchange request" + seriesSuffix).at(tasks)
            + this->fit("group owner/exchange answer" + seriesSuffix).at(tasks)
            + this->assumed.httpBytes;
}

double Model::exchangeMicros(double tasks) const
{
    return this->fit("group owner/exchange codec").at(tasks)
            + this->fit("group owner/exchange taken in").at(tasks);
}

/** Returns the exchanges per second that starts cause beyond the periodic ones, as a start does not
    wait for its worker's next periodic exchange. */
double Model::startExchanges() const
{
    return this->fit("group owner/exchanges beyond the period by starts").slope
            * this->target.startsPerSecond;
}

RoleCost Model::exchanges() const
{
    const double tasks = this->target.tasksPerWorker();
    const double rate = this->target.workers / exchangePeriod + this->startExchanges();
    RoleCost cost { "exchanges", {}, {}, {}, {} };
    cost.bytes.shared = rate * this->exchangeBytes("", tasks);
    cost.core.shared = rate * this->exchangeMicros(tasks) / microsPerSecond;
    cost.memory.shared = this->target.tasks() * this->fit("group owner/heap of an owner").slope;
    return cost;
}

/** Exchanges in the compact encoding. An exchange for a start carries only the task to start. */
RoleCost Model::compactExchanges() const
{
    const double tasks = this->target.tasksPerWorker();
    const double periodic = this->target.workers / proposedExchangePeriod;
    const double starting = this->startExchanges();
    RoleCost cost = this->exchanges();
    cost.bytes.shared = periodic * this->exchangeBytes(", compact trial", tasks)
            + starting * this->exchangeBytes(", compact trial", 1);
    cost.core.shared = (periodic * this->exchangeMicros(tasks) + starting * this->exchangeMicros(1))
            / microsPerSecond;
    return cost;
}

RoleCost Model::ticks() const
{
    const double groups = this->target.workers / this->assumed.workersPerGroup;
    const double micros =
            this->fit("group owner/quiet tick by workers").at(this->assumed.workersPerGroup)
            + this->fit("group owner/quiet tick by waiting jobs").slope * this->assumed.waitingJobs
            + this->fit("group owner/quiet tick by ranges").slope * this->assumed.ranges;
    RoleCost cost { "ticks of owners", {}, {}, {}, {} };
    cost.core.shared = groups * ticksPerSecond * micros / microsPerSecond;
    return cost;
}

/** Owners that act only on changes, at the peak rate of changes. This counts the processor
    time of the exchanges a second time. */
RoleCost Model::changeDrivenOwners() const
{
    const double groups = this->target.workers / proposedWorkersPerGroup;
    const double micros = this->valueAt("group owner/owner in full churn", proposedWorkersPerGroup);
    RoleCost cost { "owners at work", {}, {}, {}, {} };
    cost.core.shared = groups * micros / microsPerSecond;
    return cost;
}

RoleCost Model::groupStreams(double workersPerGroup) const
{
    const double starts = this->target.startsPerSecond;
    const double groups = this->target.workers / workersPerGroup;
    const double appends =
            groups * this->fit("group owner/group appends a second").at(workersPerGroup);
    RoleCost cost { "group streams", {}, {}, {}, {} };
    cost.bytes.shared = starts
                    * (this->fit("group owner/group stream by starts").slope
                       + this->fit("group owner/group stream as read by starts").slope)
            + 2 * appends * this->assumed.httpBytes;
    cost.core.shared =
            starts * this->fit("group owner/group stream read by starts").slope / microsPerSecond;
    cost.appends.shared = appends;
    return cost;
}

/** Every node reads every claim. Claims per start are as appended by the measured group. */
RoleCost Model::workStream(double workersPerGroup, double streams) const
{
    const double starts = this->target.startsPerSecond;
    const double groups = this->target.workers / workersPerGroup;
    const double appends =
            groups * this->fit("group owner/work appends a second").at(workersPerGroup);
    const double read = starts * this->fit("group owner/work stream as read by starts").slope;
    RoleCost cost { "work stream", {}, {}, {}, {} };
    cost.bytes.each = (read + appends * this->assumed.httpBytes) / streams;
    cost.bytes.shared = starts * this->fit("group owner/work stream by starts").slope
            + appends * this->assumed.httpBytes;
    cost.core.each =
            appends * this->fit("work stream/claims folded").slope / microsPerSecond / streams;
    cost.memory.each = this->fit("work stream/heap").at(this->assumed.ranges / streams);
    cost.appends.shared = appends;
    return cost;
}

/** @param duplicateShare share of the other nodes that append a duplicate of a job's end
    @param maxReadsPerSecond limit on reads; entries that arrive between two reads share one */
RoleCost Model::records(double duplicateShare, double maxReadsPerSecond) const
{
    const double peak = this->assumed.peakFactor / secondsPerDay;
    const double changes = this->target.changesPerDay * peak;
    const double jobs = this->target.jobsPerDay * peak;
    const double record = this->fit("configuration/records as read").slope;
    const double jobWithEnd = this->fit("configuration/job and its end as read").slope;
    const double jobEnd = jobWithEnd - record;
    RoleCost cost { "configuration", {}, {}, {}, {} };
    const double reads = std::min(maxReadsPerSecond, changes + 2 * jobs);
    cost.bytes.each = changes * record + jobs * jobWithEnd + reads * this->assumed.httpBytes;
    cost.bytes.perPeer = duplicateShare * jobs * (jobEnd + this->assumed.httpBytes);
    cost.core.each = (changes * this->fit("configuration/records folded").slope
                      + jobs * this->fit("configuration/job and its end folded").slope)
            / microsPerSecond;
    cost.memory.each = this->fit("configuration/heap").at(this->assumed.recordsInForce)
            + this->valueAtMaxSize("configuration/heap of ended jobs");
    cost.appends.shared = changes + 2 * jobs;
    cost.appends.perPeer = duplicateShare * jobs;
    return cost;
}

RoleCost Model::emptyReads(double groups, double reads) const
{
    const double bytes = this->fit("platform/empty reads").slope + this->assumed.httpBytes;
    constexpr double sharedStreams = 3;
    RoleCost cost { "reads of quiet streams", {}, {}, {}, {} };
    cost.bytes.each = sharedStreams * reads * bytes;
    cost.bytes.shared = groups * reads * bytes;
    return cost;
}

RoleCost Model::heartbeats() const
{
    constexpr double bothWays = 2;
    RoleCost cost { "heartbeats", {}, {}, {}, {} };
    cost.bytes.perPeer =
            bothWays * heartbeatsPerSecond * this->fit("peers/heartbeats sent in a period").slope;
    // Measured per peer on an idle daemon, so that system calls are included.
    cost.core.perPeer = this->fit("daemon/idle processor time").slope / microsPerSecond;
    return cost;
}

/** Heartbeats with a fixed number of other nodes, over one link per pair. */
RoleCost Model::heartbeats(double peers) const
{
    constexpr double linksPerPair = 2;
    const RoleCost mesh = this->heartbeats();
    RoleCost cost { mesh.role, {}, {}, {}, {} };
    cost.bytes.each = peers * mesh.bytes.perPeer / linksPerPair / proposedHeartbeatPeriodFactor;
    cost.core.each = peers * mesh.core.perPeer / linksPerPair / proposedHeartbeatPeriodFactor;
    return cost;
}

RoleCost Model::keys(double streams) const
{
    const double allKeys = this->assumed.keyedRequestsPerSecond;
    const double rate = allKeys / streams;
    RoleCost cost { "keys", {}, {}, {}, {} };
    // One key and one read per entry, as claims of a node are rarely batched at this rate.
    cost.bytes.each = rate * (this->fit("keys/entry as read").at(1) + this->assumed.httpBytes);
    cost.bytes.shared = allKeys * (this->fit("keys/entry").at(1) + this->assumed.httpBytes);
    cost.core.each = rate * this->fit("keys/keys folded").slope / microsPerSecond;
    cost.memory.each = rate * this->assumed.keyLifetime * this->fit("keys/heap").slope;
    cost.appends.shared = allKeys;
    return cost;
}

//==============================================================================
RoleCost totalOf(const std::vector<RoleCost> &roles)
{
    RoleCost total { "total", {}, {}, {}, {} };
    for (const RoleCost &role : roles) {
        total.bytes += role.bytes;
        total.core += role.core;
        total.memory += role.memory;
        total.appends += role.appends;
    }
    return total;
}

int minNodes(const Cost &cost, double limit)
{
    for (int nodes = 1; nodes <= maxNodes; ++nodes) {
        if (cost.at(nodes) <= limit) {
            return nodes;
        }
    }
    return 0;
}

} // namespace bulrush::bench
