#include "LogPages.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace bulrush::bench {

namespace {

using nlohmann::json;

constexpr std::size_t recordsPerRead = 500;
constexpr std::size_t firstOffset = 123'456;

} // namespace

std::string pageText(const std::vector<std::string> &records)
{
    json list = json::array();
    for (const std::string &record : records) {
        list.push_back({ { "offset", firstOffset + list.size() }, { "body", record } });
    }
    return json {
        { "first", firstOffset }, { "next", firstOffset + list.size() }, { "records", list }
    }.dump();
}

std::size_t bytesInPages(const std::vector<std::string> &records)
{
    std::size_t bytes = 0;
    for (std::size_t first = 0; first < records.size(); first += recordsPerRead) {
        const std::size_t last = std::min(first + recordsPerRead, records.size());
        const auto begin = std::next(records.begin(), static_cast<std::ptrdiff_t>(first));
        const auto end = std::next(records.begin(), static_cast<std::ptrdiff_t>(last));
        bytes += pageText({ begin, end }).size();
    }
    return bytes;
}

std::size_t parsePage(const std::string &text)
{
    return json::parse(text).at("records").size();
}

} // namespace bulrush::bench
