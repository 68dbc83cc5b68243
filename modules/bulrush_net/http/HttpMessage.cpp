#include "bulrush_net/http/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace bulrush {

namespace {

bool isAllowedUnencoded(char character)
{
    constexpr std::string_view allowed = "-._~!$&'()*+,;=:@/";
    const auto byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0 || allowed.find(character) != std::string_view::npos;
}

} // namespace

std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name)
{
    const auto matches = [name](const HttpHeader &header) { return header.name == name; };
    const auto found = std::find_if(headers.begin(), headers.end(), matches);
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (isAllowedUnencoded(character)) {
            encoded.push_back(character);
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

} // namespace bulrush
