#include "WorkStreamMeasures.h"

#include "LogPages.h"
#include "Meters.h"

#include "bulrush_ownership/bulrush_ownership.h"

#include <array>
#include <memory>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> rangeCounts { 500, 2'000, 8'000 };
constexpr std::uint32_t rangeLength = 32;
constexpr std::size_t rangesPerJob = 4;
constexpr std::size_t groupCount = 173;
constexpr int runs = 3;

GroupId groupOf(std::size_t range)
{
    return GroupId("dc-1.rack-" + std::to_string(range % groupCount));
}

/** Returns a stream with one claim per group, followed by one operation per task range. */
std::vector<std::string> claimStream(std::size_t ranges)
{
    std::vector<std::string> stream;
    for (std::size_t group = 0; group < groupCount; ++group) {
        stream.push_back(encode(GroupClaim { "entry-1/entry-1.1764800000.4711/claim/1/1",
                                             groupOf(group), NodeId("entry-1"), 1 }));
    }
    std::vector<std::uint64_t> sequences(groupCount, 0);
    for (std::size_t range = 0; range < ranges; ++range) {
        const JobId job("reassessment-" + std::to_string(range / rangesPerJob));
        const auto first = static_cast<std::uint32_t>(range % rangesPerJob) * rangeLength;
        GroupOperation operation { groupOf(range), 1, ++sequences[range % groupCount], {} };
        operation.items.push_back(
                { WorkChange::ClaimTasks, job, first, first + rangeLength - 1, 0, {}, {} });
        stream.push_back(encode(operation));
    }
    return stream;
}

std::size_t bytesOf(const std::vector<std::string> &stream)
{
    std::size_t bytes = 0;
    for (const std::string &record : stream) {
        bytes += record.size();
    }
    return bytes;
}

GroupClaims fold(const std::vector<std::string> &stream)
{
    GroupClaims claims;
    std::uint64_t offset = 0;
    for (const std::string &record : stream) {
        claims.read(offset++, record);
    }
    return claims;
}

} // namespace

std::vector<Series> measureWorkStream()
{
    SeriesSet set("work stream");
    for (const std::size_t ranges : rangeCounts) {
        const auto size = static_cast<double>(ranges);
        const std::vector<std::string> stream = claimStream(ranges);
        const std::string sizeName = "task ranges held";
        set.add("claims", "B", sizeName, { size, static_cast<double>(bytesOf(stream)) });
        set.add("claims as read", "B", sizeName,
                { size, static_cast<double>(bytesInPages(stream)) });
        set.add("claims folded", "us", sizeName,
                { size, minMicros(runs, [&stream] { fold(stream); }) });
        const std::size_t before = heapBytes();
        const auto claims = std::make_unique<GroupClaims>(fold(stream));
        set.add("heap", "B", sizeName, { size, static_cast<double>(heapBytes() - before) });
        const std::string snapshot = claims->snapshot(stream.size() - 1);
        set.add("snapshot", "B", sizeName, { size, static_cast<double>(snapshot.size()) });
        set.add("snapshot read", "us", sizeName,
                { size, minMicros(runs, [&snapshot] { GroupClaims::decodeSnapshot(snapshot); }) });
        set.add("snapshot written", "us", sizeName,
                { size, minMicros(runs, [&claims] { claims->snapshot(1); }) });
    }
    return set.take();
}

} // namespace bulrush::bench
