#include "PlatformMeasures.h"

#include "LogPages.h"
#include "Meters.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>

namespace bulrush::bench {

namespace {

using nlohmann::json;

constexpr std::array<std::size_t, 3> vmCounts { 65, 400, 1'900 };
constexpr std::array<std::size_t, 3> streamCounts { 3, 10, 30 };
constexpr std::array<std::size_t, 3> pageSizes { 1, 50, 500 };
constexpr int runs = 3;

/** Returns a list of VMs with the fields that HttpPlatform reads. */
std::string vmList(std::size_t count)
{
    json list = json::array();
    for (std::size_t number = 0; number < count; ++number) {
        list.push_back({ { "vm", "dc-1-vm-" + std::to_string(1'000 + number) },
                         { "dataCentre", "dc-1" },
                         { "rack", "rack-" + std::to_string(number / 11) },
                         { "address", "10.1.17." + std::to_string(number % 250) },
                         { "port", 8'080 },
                         { "state", "live" },
                         { "cpuMilli", 64'000 },
                         { "memoryMb", 250'000 },
                         { "accelerators", 0 } });
    }
    return list.dump();
}

std::size_t readList(const std::string &text)
{
    std::size_t length = 0;
    for (const json &entry : json::parse(text)) {
        length += entry.at("vm").get<std::string>().size();
    }
    return length;
}

/** Returns the bytes of the request line and response body of a read without new records. */
std::size_t emptyReadBytes()
{
    const std::string line =
            "GET /log/group/dc-1.rack-17?from=123456&max=500&waitMs=500 HTTP/1.1\r\n";
    const json answer { { "first", 100'000 }, { "next", 123'456 }, { "records", json::array() } };
    return line.size() + answer.dump().size();
}

} // namespace

std::vector<Series> measurePlatform()
{
    SeriesSet set("platform");
    for (const std::size_t vms : vmCounts) {
        const auto size = static_cast<double>(vms);
        const std::string list = vmList(vms);
        set.add("list of VMs", "B", "VMs", { size, static_cast<double>(list.size()) });
        set.add("list of VMs read", "us", "VMs",
                { size, minMicros(runs, [&list] { readList(list); }) });
    }
    for (const std::size_t streams : streamCounts) {
        set.add("empty reads", "B", "streams followed",
                { static_cast<double>(streams), static_cast<double>(streams * emptyReadBytes()) });
    }
    for (const std::size_t records : pageSizes) {
        const std::string page = pageText(std::vector<std::string>(records, vmList(2)));
        set.add("page of the log parsed", "us", "bytes of the page",
                { static_cast<double>(page.size()),
                  minMicros(runs, [&page] { parsePage(page); }) });
    }
    return set.take();
}

} // namespace bulrush::bench
