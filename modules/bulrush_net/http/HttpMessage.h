#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** One header line; the name is in lower case. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

/** Returns the value of the first header with the given lower-case name, or an empty view. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/** A complete request, either received or to be sent. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** A complete response. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
};

/** Percent-encodes all characters that are not allowed in a path. '=' and '&' are left as they are,
    so that a query can be encoded as well. */
std::string percentEncoded(std::string_view text);

} // namespace bulrush
