#include "standins/platform/LogStore.h"

#include <algorithm>
#include <utility>

namespace bulrush::standins {

nlohmann::json toJson(const LogPage &page)
{
    nlohmann::json records = nlohmann::json::array();
    for (const LogRecord &record : page.records) {
        records.push_back(
                { { "offset", record.offset }, { "time", record.time }, { "body", record.body } });
    }
    return { { "first", page.first }, { "next", page.next }, { "records", std::move(records) } };
}

std::uint64_t LogStore::append(const std::string &stream, std::string body, UnixMs now)
{
    Stream &target = this->streams[stream];
    const std::uint64_t offset = target.next();
    target.records.push_back({ offset, now, std::move(body) });
    this->truncate(target);
    return offset;
}

LogPage LogStore::read(std::string_view stream, std::uint64_t from, std::size_t max) const
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return {};
    }
    const Stream &source = found->second;
    LogPage page { source.first, source.next(), {} };
    if (from < page.first || from >= page.next) {
        return page;
    }
    const auto begin = source.records.begin() + static_cast<std::ptrdiff_t>(from - page.first);
    const std::size_t count = std::min<std::size_t>(max, page.next - from);
    page.records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return page;
}

bool LogStore::hasUpdate(std::string_view stream, std::uint64_t from) const
{
    const auto found = this->streams.find(stream);
    return found != this->streams.end()
            && (from < found->second.first || from < found->second.next());
}

void LogStore::retain(std::size_t recordsPerStream)
{
    this->retained = recordsPerStream;
    for (auto &[name, stream] : this->streams) {
        this->truncate(stream);
    }
}

void LogStore::truncate(Stream &stream) const
{
    while (this->retained > 0 && stream.records.size() > this->retained) {
        stream.records.pop_front();
        ++stream.first;
    }
}

} // namespace bulrush::standins
