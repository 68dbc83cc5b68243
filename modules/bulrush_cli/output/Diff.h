#pragma once

#include <string>
#include <string_view>

namespace bulrush {

/**
    Compares two texts line by line.

    @returns a unified diff with three lines of context, or an empty string for equal texts
*/
std::string unifiedDiff(std::string_view oldText, std::string_view oldLabel,
                        std::string_view newText, std::string_view newLabel);

} // namespace bulrush
