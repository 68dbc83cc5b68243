#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace bulrush {

/** The records that other nodes have handed over to this one and that are not answered
    yet. Bounds the memory that they take. */
class RelayQueue
{
public:
    /** Who handed a record over. */
    struct Origin
    {
        std::uint64_t link = 0;
        /** The sender's number of the record. */
        std::uint64_t number = 0;

        bool operator<(const Origin &other) const
        {
            return std::tie(this->link, this->number) < std::tie(other.link, other.number);
        }
    };

    explicit RelayQueue(std::size_t maxTotalBytes)
        : maxBytes(maxTotalBytes)
    {
    }

    /** Takes a record. @returns its id; nothing when there is no room for it, or it was taken
        before */
    std::optional<std::uint64_t> add(const Origin &origin, std::size_t bytes);

    bool contains(const Origin &origin) const { return this->origins.contains(origin); }

    /** Removes a record whose append has ended.
        @returns whom to answer; nothing when its sender's link has closed */
    std::optional<Origin> complete(std::uint64_t id);

    /** Forgets whom to answer at a link that has closed. Its records are appended all the same. */
    void linkClosed(std::uint64_t link);

    std::size_t bytes() const { return this->totalBytes; }

private:
    struct Held
    {
        std::optional<Origin> origin;
        std::size_t bytes = 0;
    };

    const std::size_t maxBytes;
    std::size_t totalBytes = 0;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, Held> records;
    std::set<Origin> origins;
};

} // namespace bulrush
