#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace bulrush {

/**
    An identifier that holds a name and has a distinct type for each kind of object.

    @tparam Tag an incomplete type that makes the identifier's type distinct
*/
template<class Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string_view name)
        : prefix(prefixOf(name))
        , text(name)
    {
    }

    const std::string &name() const { return this->text; }

    /** Returns whether the name is empty. */
    bool isEmpty() const { return this->text.empty(); }

    bool operator==(const NameId &other) const
    {
        return this->prefix == other.prefix && this->text == other.text;
    }

    /** Orders by name. */
    std::strong_ordering operator<=>(const NameId &other) const
    {
        const std::strong_ordering order = this->prefix <=> other.prefix;
        return std::is_neq(order) ? order : this->text <=> other.text;
    }

    friend std::ostream &operator<<(std::ostream &stream, const NameId &id)
    {
        return stream << id.text;
    }

private:
    /** Returns the first bytes of a name as a number that is ordered like them. */
    static std::uint64_t prefixOf(std::string_view name)
    {
        std::uint64_t number = 0;
        for (std::size_t index = 0; index < sizeof(number); ++index) {
            const char byte = index < name.size() ? name[index] : '\0';
            number = number << 8U | static_cast<unsigned char>(byte);
        }
        return number;
    }

    /** Decides most comparisons without reading the text. */
    std::uint64_t prefix = 0;
    std::string text;
};

/** The name of a VM that runs the system itself: an entry VM with its daemon. */
using NodeId = NameId<struct NodeTag>;

/** The name of a VM that the platform rents out: a worker. */
using VmId = NameId<struct VmTag>;

/** The name of a data centre. */
using DataCentreId = NameId<struct DataCentreTag>;

/** The name of a team that has a quota. */
using TeamId = NameId<struct TeamTag>;

/** The name of a target that serves requests: an executor. */
using TargetId = NameId<struct TargetTag>;

/** The name of a service. */
using ServiceId = NameId<struct ServiceTag>;

/** The name of a job or watcher. */
using JobId = NameId<struct JobTag>;

/** The name of a worker group: the workers to which one owner assigns tasks. */
using GroupId = NameId<struct GroupTag>;

} // namespace bulrush

/** Allows identifiers as keys of unordered containers. */
template<class Tag>
struct std::hash<bulrush::NameId<Tag>>
{
    std::size_t operator()(const bulrush::NameId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.name());
    }
};
