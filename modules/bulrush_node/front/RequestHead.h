#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/http/HttpMessage.h"

#include <string>

namespace bulrush {

/** The path and headers of a caller's request. */
struct RequestHead
{
    ServiceId service;
    /** The path of the request to the target. */
    std::string targetPath;
    /** Zero when the request has no deadline. */
    Duration deadline {};
    bool interactive = true;
    bool idempotent = false;
    std::string key;
    /** Whether the caller declares that it has not sent this key before. */
    bool firstTry = false;
};

/**
    Reads the path and the headers. The path has the form /services/NAME/PATH.

    @throws Error that names the invalid header or the path, the value found and the value expected
*/
RequestHead readRequestHead(const HttpRequest &request);

} // namespace bulrush
