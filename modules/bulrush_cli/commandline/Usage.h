#pragma once

#include <span>
#include <string_view>

namespace bulrush {

/** The text of --help, from which docopt reads the command line. */
std::string_view usageText();

/** The text of --version. */
std::string_view versionText();

/** The names of all commands. */
std::span<const std::string_view> commandNames();

/** The tool's options. */
std::span<const std::string_view> optionNames();

} // namespace bulrush
