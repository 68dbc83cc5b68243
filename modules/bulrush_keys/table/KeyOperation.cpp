#include "bulrush_keys/table/KeyOperation.h"

#include "bulrush_keys/table/IdempotencyKey.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::size_t maxArrivalLength = 128;
constexpr std::size_t maxEntryBytes = 1'048'576;
constexpr std::array verbNames { std::string_view("claim"), std::string_view("release"),
                                 std::string_view("complete") };

std::optional<KeyOperation> parseOperation(const json &row)
{
    KeyOperation operation;
    const auto &verb = row.at(0).get_ref<const std::string &>();
    const auto *const found = std::find(verbNames.begin(), verbNames.end(), verb);
    operation.verb = static_cast<KeyVerb>(found - verbNames.begin());
    operation.key = row.at(1);
    operation.arrival = row.at(2);
    operation.status = row.size() > 3 ? row.at(3).get<int>() : 0;
    const bool isValid = found != verbNames.end() && IdempotencyKey::parse(operation.key)
            && !operation.arrival.empty() && operation.arrival.size() <= maxArrivalLength;
    return isValid ? std::optional(operation) : std::nullopt;
}

} // namespace

std::string KeyEntry::text() const
{
    json rows = json::array();
    for (const KeyOperation &operation : this->operations) {
        json row { verbNames.at(static_cast<std::size_t>(operation.verb)), operation.key,
                   operation.arrival };
        if (operation.verb == KeyVerb::Complete) {
            row.push_back(operation.status);
        }
        rows.push_back(std::move(row));
    }
    return json { { "at", this->writtenAt }, { "keys", rows } }.dump();
}

std::optional<KeyEntry> KeyEntry::parse(std::string_view text)
{
    if (text.size() > maxEntryBytes) {
        return std::nullopt;
    }
    try {
        const json document = json::parse(text);
        KeyEntry entry;
        entry.writtenAt = document.at("at");
        for (const json &row : document.at("keys")) {
            const std::optional<KeyOperation> operation = parseOperation(row);
            if (!operation) {
                return std::nullopt;
            }
            entry.operations.push_back(*operation);
        }
        return entry;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace bulrush
