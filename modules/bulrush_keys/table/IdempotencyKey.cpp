#include "bulrush_keys/table/IdempotencyKey.h"

#include <algorithm>
#include <charconv>

namespace bulrush {

namespace {

bool isOpaqueCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '-' || character == '_'
            || character == '.';
}

} // namespace

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    const std::size_t dash = text.find('-');
    if (text.size() > maxLength || dash == std::string_view::npos || dash == 0
        || dash + 1 == text.size()) {
        return std::nullopt;
    }
    if (!std::all_of(text.begin(), text.end(), isOpaqueCharacter)) {
        return std::nullopt;
    }
    IdempotencyKey key;
    key.text = text;
    const char *const end = text.data() + dash;
    const auto parsed = std::from_chars(text.data(), end, key.issuedAt);
    if (parsed.ec != std::errc() || parsed.ptr != end || key.issuedAt < 0) {
        return std::nullopt;
    }
    return key;
}

} // namespace bulrush
