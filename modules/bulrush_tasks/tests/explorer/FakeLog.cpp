#include "FakeLog.h"

namespace bulrush::explorer {

void FakeLog::append(const std::string &stream, std::string_view payload, Instant now)
{
    Stream &target = this->streams[stream];
    target.entries.push_back({ now, std::string(payload) });
    ++target.totals.records;
    target.totals.bytes += payload.size();
}

AppendTotals FakeLog::totals(std::string_view prefix) const
{
    AppendTotals sum;
    for (const auto &[name, stream] : this->streams) {
        if (name.starts_with(prefix)) {
            sum.records += stream.totals.records;
            sum.bytes += stream.totals.bytes;
        }
    }
    return sum;
}

void FakeLog::truncate(Instant now, Duration retention)
{
    for (auto &[name, stream] : this->streams) {
        std::size_t expired = 0;
        while (expired < stream.entries.size() && now - stream.entries[expired].at > retention) {
            ++expired;
        }
        stream.firstOffset += expired;
        const auto end = stream.entries.begin() + static_cast<std::ptrdiff_t>(expired);
        stream.entries.erase(stream.entries.begin(), end);
    }
}

StreamRead FakeLog::read(const std::string &stream, std::uint64_t from) const
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return {};
    }
    StreamRead result { found->second.firstOffset, {} };
    std::uint64_t offset = std::max(from, result.firstOffset);
    for (; offset < result.firstOffset + found->second.entries.size(); ++offset) {
        result.records.push_back(
                { offset, found->second.entries[offset - result.firstOffset].payload });
    }
    return result;
}

} // namespace bulrush::explorer
