#include "bulrush_core/addresses/Endpoint.h"

#include <charconv>

namespace bulrush {

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    Endpoint endpoint { std::string(text.substr(0, colon)), 0 };
    const std::string_view port = text.substr(colon + 1);
    const char *portEnd = port.data() + port.size();
    const auto [end, error] = std::from_chars(port.data(), portEnd, endpoint.port);
    const bool valid = error == std::errc() && end == portEnd && endpoint.port != 0;
    return valid ? std::optional(endpoint) : std::nullopt;
}

} // namespace bulrush
