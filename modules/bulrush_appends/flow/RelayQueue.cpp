#include "bulrush_appends/flow/RelayQueue.h"

namespace bulrush {

std::optional<std::uint64_t> RelayQueue::add(const Origin &origin, std::size_t bytes)
{
    if (this->totalBytes + bytes > this->maxBytes || !this->origins.insert(origin).second) {
        return std::nullopt;
    }
    this->totalBytes += bytes;
    const std::uint64_t id = this->nextId++;
    this->records[id] = { origin, bytes };
    return id;
}

std::optional<RelayQueue::Origin> RelayQueue::complete(std::uint64_t id)
{
    const auto found = this->records.find(id);
    if (found == this->records.end()) {
        return std::nullopt;
    }
    const std::optional<Origin> origin = found->second.origin;
    this->totalBytes -= found->second.bytes;
    this->records.erase(found);
    if (origin) {
        this->origins.erase(*origin);
    }
    return origin;
}

void RelayQueue::linkClosed(std::uint64_t link)
{
    for (auto &[id, record] : this->records) {
        if (record.origin && record.origin->link == link) {
            this->origins.erase(*record.origin);
            record.origin.reset();
        }
    }
}

} // namespace bulrush
