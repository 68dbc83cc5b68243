#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace bulrush::bench {

/** Returns the body of the platform's response to a log read, as HttpPlatform parses it. */
std::string pageText(const std::vector<std::string> &records);

/** Returns the size in bytes of all response bodies when the records are read in pages. */
std::size_t bytesInPages(const std::vector<std::string> &records);

/** Parses the body of a page. @returns the number of its records */
std::size_t parsePage(const std::string &text);

} // namespace bulrush::bench
