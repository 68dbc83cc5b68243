#pragma once

#include "bulrush_net/http/HttpMessage.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct lws;

namespace bulrush {

/** A request without its body, and what its headers tell of the body. */
struct RequestHead
{
    HttpRequest request;
    /** The announced length of the body, if there is one. */
    std::optional<std::size_t> announcedBytes;
    bool chunked = false;
};

/** Copies the head of the request that libwebsockets has just parsed.
    @param extraNames lower-case names of headers to copy in addition to the default ones */
RequestHead readRequestHead(lws *wsi, std::string_view path,
                            const std::vector<std::string> &extraNames);

} // namespace bulrush
