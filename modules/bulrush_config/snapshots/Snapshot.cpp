#include "bulrush_config/snapshots/Snapshot.h"

#include "bulrush_config/schemas/StrictJson.h"
#include "bulrush_core/errors/Error.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bulrush {

namespace {

using nlohmann::json;

constexpr std::string_view partPrefix = "{\"snapshot\":";

/** JSON escaping may double the size of a part; the envelope adds some more. */
constexpr JsonBounds partBounds { 3 * snapshotPartBytes, 4, 2 * snapshotPartBytes };

std::string hashOf(std::string_view text)
{
    return std::to_string(XXH3_64bits(text.data(), text.size()));
}

} // namespace

bool isSnapshotPart(std::string_view text)
{
    return text.substr(0, partPrefix.size()) == partPrefix;
}

std::vector<std::string> snapshotParts(const RecordState &state)
{
    if (!state.unsettled().empty()) {
        throw Error("write snapshot", "", "some names need newer software");
    }
    const std::string text = state.exportText();
    const std::size_t count = (text.size() + snapshotPartBytes - 1) / snapshotPartBytes;
    const std::string hash = hashOf(text);
    std::vector<std::string> parts;
    for (std::size_t part = 0; part < count; ++part) {
        const json entry {
            { "snapshot",
              { { "nextOffset", state.nextOffset() },
                { "hash", hash },
                { "part", part },
                { "parts", count },
                { "text", text.substr(part * snapshotPartBytes, snapshotPartBytes) } } }
        };
        parts.push_back(entry.dump());
    }
    return parts;
}

std::optional<SnapshotPart> readSnapshotPart(std::string_view text)
{
    if (!isSnapshotPart(text)) {
        return std::nullopt;
    }
    try {
        const json entry = parseStrictJson(text, partBounds).at("snapshot");
        SnapshotPart part { entry.at("nextOffset"), entry.at("hash"), entry.at("part"),
                            entry.at("parts"), entry.at("text") };
        return part.part < part.parts ? std::optional(std::move(part)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const Error &) {
        return std::nullopt;
    }
}

std::optional<RecordState> SnapshotAssembler::add(std::string_view text)
{
    std::optional<SnapshotPart> part = readSnapshotPart(text);
    if (!part) {
        return std::nullopt;
    }
    const Key key { part->nextOffset, part->hash, part->parts };
    auto &parts = this->incomplete[key];
    parts[part->part] = std::move(part->text);
    std::optional<RecordState> state;
    if (parts.size() == key.parts) {
        state = assemble(key.hash, parts);
        this->incomplete.erase(key);
    }
    if (this->incomplete.size() > maxIncomplete) {
        this->incomplete.erase(this->incomplete.begin());
    }
    return state;
}

std::optional<RecordState> SnapshotAssembler::assemble(const std::string &hash, const Parts &parts)
{
    std::string whole;
    for (const auto &[index, text] : parts) {
        whole += text;
    }
    if (hashOf(whole) != hash) {
        return std::nullopt;
    }
    try {
        return RecordState::importText(whole);
    } catch (const Error &) {
        return std::nullopt;
    }
}

} // namespace bulrush
