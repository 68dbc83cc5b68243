#include "KeyMeasures.h"

#include "LogPages.h"
#include "Meters.h"

#include "bulrush_keys/bulrush_keys.h"

#include <array>
#include <memory>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> claimCounts { 1, 8, 64 };
constexpr std::array<std::size_t, 3> keyCounts { 5'000, 20'000, 80'000 };
constexpr std::size_t claimsPerEntry = 8;
constexpr UnixSeconds unixNow = 1'764'800'000;
constexpr int runs = 3;

KeyOperation makeOperation(KeyVerb verb, std::size_t number)
{
    return { verb, std::to_string(unixNow) + "-9f86d081-884c-7d65-" + std::to_string(number),
             "entry-1.1764800000.4711471147-" + std::to_string(number),
             verb == KeyVerb::Complete ? 200 : 0 };
}

/** Returns an entry that claims a number of keys and then completes them. */
KeyEntry makeEntry(std::size_t first, std::size_t count)
{
    KeyEntry entry { unixNow, {} };
    for (std::size_t number = first; number < first + count; ++number) {
        entry.operations.push_back(makeOperation(KeyVerb::Claim, number));
    }
    for (std::size_t number = first; number < first + count; ++number) {
        entry.operations.push_back(makeOperation(KeyVerb::Complete, number));
    }
    return entry;
}

std::vector<std::string> keyStream(std::size_t keys)
{
    std::vector<std::string> stream;
    for (std::size_t first = 0; first < keys; first += claimsPerEntry) {
        stream.push_back(makeEntry(first, claimsPerEntry).text());
    }
    return stream;
}

std::unique_ptr<KeyTable> fold(const std::vector<std::string> &stream)
{
    auto table = std::make_unique<KeyTable>(KeyValidity());
    std::uint64_t offset = 0;
    for (const std::string &entry : stream) {
        table->apply(offset++, entry, unixNow);
    }
    return table;
}

} // namespace

std::vector<Series> measureKeys()
{
    SeriesSet set("keys");
    for (const std::size_t count : claimCounts) {
        set.add("entry as read", "B", "keys claimed and completed by an entry",
                { static_cast<double>(count),
                  static_cast<double>(pageText({ makeEntry(0, count).text() }).size()) });
        set.add("entry", "B", "keys claimed and completed by an entry",
                { static_cast<double>(count),
                  static_cast<double>(makeEntry(0, count).text().size()) });
    }
    for (const std::size_t keys : keyCounts) {
        const auto size = static_cast<double>(keys);
        const std::vector<std::string> stream = keyStream(keys);
        set.add("keys folded", "us", "keys remembered",
                { size, minMicros(runs, [&stream] { fold(stream); }) });
        const std::size_t before = heapBytes();
        const auto table = fold(stream);
        set.add("heap", "B", "keys remembered",
                { size, static_cast<double>(heapBytes() - before) });
    }
    return set.take();
}

} // namespace bulrush::bench
