#pragma once

#include <span>
#include <string_view>

namespace bulrush {

/** Returns the text of --help, which docopt also uses as the grammar of the command line. */
std::string_view usageText();

/** Returns the text of --version. */
std::string_view versionText();

std::span<const std::string_view> commandNames();

/** Returns the names of all long options, with their dashes. */
std::span<const std::string_view> optionNames();

} // namespace bulrush
