#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/http/HttpMessage.h"

#include <string>

namespace bulrush {

/** What a caller's request asks of the node, read from its path and headers. */
struct RequestHead
{
    ServiceId service;
    /** The path that the target gets. */
    std::string targetPath;
    /** Zero where the caller gave none. */
    Duration deadline {};
    bool interactive = true;
    bool idempotent = false;
    std::string key;
    /** Whether the caller says that it never sent this key before. */
    bool firstTry = false;
};

/**
    Reads path and headers. The path is /services/NAME/PATH.

    @throws Error whose text names the header, what was found and what is expected
*/
RequestHead readRequestHead(const HttpRequest &request);

} // namespace bulrush
