#pragma once

#include <string>
#include <string_view>

namespace bulrush {

/**
    Returns the difference of two texts as unified lines with three lines of context.

    @returns an empty text when they are equal
*/
std::string unifiedDiff(std::string_view oldText, std::string_view oldLabel,
                        std::string_view newText, std::string_view newLabel);

} // namespace bulrush
