// Measures how a replaced or disconnected node catches up with the current configuration: from the
// log, from a peer's whole state, from the tail of one peer's log, or with a hole list from several
// peers. Prints the size of a snapshot on the log for comparison.

#include "HoleList.h"
#include "Workload.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <malloc.h>

namespace bulrush::bench {

namespace {

constexpr std::uint32_t seed = 4502;
constexpr int peerCount = 3;
constexpr LogOffset rangeOffsets = 256;

/** Model of a response time: a fixed latency and a transfer rate. */
struct Link
{
    double latencyMs = 0;
    double bytesPerMs = 0;

    double responseMs(double bytes) const { return this->latencyMs + bytes / this->bytesPerMs; }
};

constexpr Link logLink { 20, 1'000 };
constexpr Link peerLink { 2, 1'000 };
constexpr double logPageBytes = 65'536;

struct Cost
{
    double bytes = 0;
    double transferMs = 0;
    double processorMs = 0;
};

double elapsedMs(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
            .count();
}

double bytesIn(const std::vector<std::string> &log, LogOffset first, LogOffset end)
{
    double bytes = 0;
    for (LogOffset offset = first; offset < end; ++offset) {
        bytes += static_cast<double>(log[offset].size());
    }
    return bytes;
}

double foldMs(RecordState state, const std::vector<std::string> &log)
{
    const auto start = std::chrono::steady_clock::now();
    for (LogOffset offset = state.nextOffset(); offset < log.size(); ++offset) {
        state.apply(offset, log[offset]);
    }
    return elapsedMs(start);
}

Cost readLog(const RecordState &from, const std::vector<std::string> &log)
{
    const double bytes = bytesIn(log, from.nextOffset(), log.size());
    const double pages = std::max(1.0, bytes / logPageBytes);
    return { bytes, pages * logLink.latencyMs + bytes / logLink.bytesPerMs, foldMs(from, log) };
}

Cost readWholeState(const RecordState &state)
{
    const auto start = std::chrono::steady_clock::now();
    const std::string text = state.exportText();
    RecordState::importText(text);
    const auto bytes = static_cast<double>(text.size());
    return { bytes, peerLink.responseMs(bytes), elapsedMs(start) };
}

/** Reads one range at a time from one peer, in order. */
Cost readTail(const RecordState &from, const std::vector<std::string> &log)
{
    const double bytes = bytesIn(log, from.nextOffset(), log.size());
    return { bytes, peerLink.responseMs(bytes), foldMs(from, log) };
}

/** Reads ranges from several peers concurrently, in any order. The peer that receives the second
    request stops answering, and the range is requested again from another peer. */
Cost readHoles(const RecordState &from, const std::vector<std::string> &log)
{
    HoleList holes(from.nextOffset(), log.size());
    std::array<double, peerCount> busyUntil {};
    Cost cost;
    int answers = 0;
    while (const auto range = holes.take(rangeOffsets)) {
        auto *const peer = std::min_element(busyUntil.begin(), busyUntil.end());
        const double bytes = bytesIn(log, range->first, range->second);
        *peer += peerLink.responseMs(bytes);
        if (++answers == 2) {
            holes.add(range->first, range->second);
            *peer = 1e9;
            continue;
        }
        cost.bytes += bytes;
        cost.transferMs = std::max(cost.transferMs, *peer);
    }
    cost.processorMs = foldMs(from, log);
    return cost;
}

void print(const char *method, const Cost &cost)
{
    std::printf("  %-34s %10.1f KB %10.1f ms transfer %9.1f ms processor %9.1f ms until in force\n",
                method, cost.bytes / 1'000, cost.transferMs, cost.processorMs,
                cost.transferMs + cost.processorMs);
}

/** Compares the methods for a node that is missing the last hours of a day's log. */
void compare(const char *name, const DayRates &rates, int missingHours)
{
    Workload workload(seed);
    workload.appendInitialRecords();
    workload.appendHours(rates, 24 - missingHours);
    const RecordState before = missingHours == 24 ? RecordState() : workload.state();
    const RecordState atSnapshot = workload.state();
    workload.appendHours(rates, missingHours);
    std::printf("%s: %zu entries, %zu missing\n", name, workload.log().size(),
                workload.log().size() - before.nextOffset());
    print("log, from the first missing entry", readLog(before, workload.log()));
    print("whole state of one peer", readWholeState(workload.state()));
    print("tail from one peer", readTail(before, workload.log()));
    print("hole list, 3 peers, one fails", readHoles(before, workload.log()));
    std::size_t snapshotBytes = 0;
    for (const std::string &part : snapshotParts(atSnapshot)) {
        snapshotBytes += part.size();
    }
    std::printf("  one snapshot on the log: %.1f KB\n", static_cast<double>(snapshotBytes) / 1'000);
}

/** Prints the memory and processor time per job record in force, for the capacity page. */
void printJobRecordCosts()
{
    std::printf("cost per job record in force:\n");
    for (const int count : { 1'000, 4'000, 16'000 }) {
        const std::size_t before = mallinfo2().uordblks;
        RecordState state;
        std::size_t bytes = 0;
        std::vector<std::string> texts;
        for (int i = 0; i < count; ++i) {
            const std::string name = "job-" + std::to_string(i);
            const std::string body = R"({"team":"team-1","tasks":4,"batchClass":"batch-1",)"
                                     R"("cpuMilli":2000,"memoryMb":4000,"runMs":600000})";
            texts.push_back(Record { "job/1", "job", name, name, "", "operator-1", body }.text());
            bytes += texts.back().size();
        }
        const std::size_t withTexts = mallinfo2().uordblks;
        const auto start = std::chrono::steady_clock::now();
        for (const std::string &text : texts) {
            state.apply(state.nextOffset(), text);
        }
        const double ms = elapsedMs(start);
        const std::size_t after = mallinfo2().uordblks;
        std::printf(
                "  %6d records: %5.1f us and %4zu bytes on the log per record, %5zu bytes of memory"
                " (base %zu)\n",
                count, 1'000 * ms / count, bytes / static_cast<std::size_t>(count),
                (after - withTexts) / static_cast<std::size_t>(count), before);
    }
}

} // namespace

} // namespace bulrush::bench

int main()
{
    using bulrush::bench::compare;
    using bulrush::bench::DayRates;
    std::printf("seed 4502; log latency 20 ms, peer latency 2 ms, 1 MB/s each\n");
    bulrush::bench::printJobRecordCosts();
    const DayRates changesOnly { 2'400, 0 };
    const DayRates withJobs { 2'400, 30'000 };
    compare("replaced node, 2,400 changes", changesOnly, 24);
    compare("disconnected for an hour, 2,400 changes", changesOnly, 1);
    compare("disconnected for 12 hours, 2,400 changes", changesOnly, 12);
    compare("replaced node, 2,400 changes and 30,000 jobs", withJobs, 24);
    compare("disconnected for an hour, 2,400 changes and 30,000 jobs", withJobs, 1);
    compare("disconnected for 12 hours, 2,400 changes and 30,000 jobs", withJobs, 12);
    return 0;
}
