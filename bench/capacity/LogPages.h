#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bulrush::bench {

/** Returns the platform's answer to a read that returns these records, as HttpPlatform reads it. */
std::string pageText(const std::vector<std::string> &records);

/** Returns how many bytes a reader gets for these records, in pages of the size it asks for. */
std::size_t readBytes(const std::vector<std::string> &records);

/** Reads a page's text. @returns the number of its records */
std::size_t parsePage(const std::string &text);

} // namespace bulrush::bench
