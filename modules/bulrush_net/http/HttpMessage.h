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

/** Returns the value of the first header of a name (lower case), or an empty view. */
std::string_view headerValue(const std::vector<HttpHeader> &headers, std::string_view name);

/** A whole request, as it arrived or is to be sent. */
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** A whole answer. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;
};

/** Percent-encodes what must not stand unencoded in a path (or, with '=' and '&', a query). */
std::string percentEncoded(std::string_view text);

} // namespace bulrush
